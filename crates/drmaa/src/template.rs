//! Job templates: attributes by the names of the C binding (GFD.133, section 3.2), checked as they are
//! set, and the [`JobSpec`] that a template comes to at the moment of its submission.

use std::collections::BTreeMap;

use jiff::Zoned;
use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorCode, Result};
use crate::timestamp::{self, Partial};

/// Stands for the user's home directory, at the start of a path.
pub const HOME: &str = "$drmaa_hd_ph$";
/// Stands for the working directory, at the start of a path.
pub const WORKING: &str = "$drmaa_wd_ph$";
/// Stands for the index of a job in its bulk submission, anywhere in a path.
pub const INDEX: &str = "$drmaa_incr_ph$";

/// Attributes with one value, by their names in the C binding.
pub const SCALARS: [&str; 18] = [
    "drmaa_remote_command",
    "drmaa_js_state",
    "drmaa_wd",
    "drmaa_job_category",
    "drmaa_native_specification",
    "drmaa_block_email",
    "drmaa_start_time",
    "drmaa_job_name",
    "drmaa_input_path",
    "drmaa_output_path",
    "drmaa_error_path",
    "drmaa_join_files",
    "drmaa_transfer_files",
    "drmaa_deadline_time",
    "drmaa_wct_hlimit",
    "drmaa_wct_slimit",
    "drmaa_durartion_hlimit",
    "drmaa_durartion_slimit",
];

/// Attributes with a list of values.
pub const VECTORS: [&str; 3] = ["drmaa_v_argv", "drmaa_v_env", "drmaa_v_email"];

/// The published header misspells two names; programs use either.
fn canonical(name: &str) -> &str {
    match name {
        "drmaa_duration_hlimit" | "drmaa_run_duration_hlimit" => "drmaa_durartion_hlimit",
        "drmaa_duration_slimit" | "drmaa_run_duration_slimit" => "drmaa_durartion_slimit",
        other => other,
    }
}

/// What a job should do, as a client fills it in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobTemplate {
    scalars: BTreeMap<String, String>,
    vectors: BTreeMap<String, Vec<String>>,
}

fn format_error(name: &str, value: &str, want: &str) -> Error {
    Error::new(
        ErrorCode::InvalidAttributeFormat,
        format!("{name}: `{value}` is not {want}"),
    )
}

fn value_error(name: &str, value: &str, want: &str) -> Error {
    Error::new(
        ErrorCode::InvalidAttributeValue,
        format!("{name}: `{value}` is not {want}"),
    )
}

/// A limit of time, `[[h:]m:]s`, in seconds.
fn seconds(name: &str, value: &str) -> Result<u64> {
    let parts: Option<Vec<u64>> = value.split(':').map(|part| part.parse().ok()).collect();
    let parts = parts.filter(|parts| parts.len() <= 3);
    let total = parts.and_then(|parts| {
        parts
            .into_iter()
            .try_fold(0_u64, |sum, part| sum.checked_mul(60)?.checked_add(part))
    });
    total.ok_or_else(|| format_error(name, value, "a time of the form [[h:]m:]s"))
}

/// `[hostname]:file_path`, with placeholders only where the specification allows them.
fn path(name: &str, value: &str) -> Result<()> {
    let (_, file) = value.split_once(':').ok_or_else(|| {
        format_error(
            name,
            value,
            "a path of the form [hostname]:file_path; the colon is missing",
        )
    })?;
    let home = file.rfind(HOME).is_some_and(|at| at > 0);
    let working = file.rfind(WORKING).is_some_and(|at| at > 0);
    if home || working {
        return Err(format_error(
            name,
            value,
            "a path with its directory placeholder at the start",
        ));
    }
    Ok(())
}

fn check(name: &str, value: &str) -> Result<()> {
    match name {
        "drmaa_js_state" if !["drmaa_hold", "drmaa_active"].contains(&value) => {
            Err(value_error(name, value, "`drmaa_hold` or `drmaa_active`"))
        }
        "drmaa_block_email" if !["0", "1"].contains(&value) => {
            Err(value_error(name, value, "`0` or `1`"))
        }
        "drmaa_join_files" if !["y", "n"].contains(&value) => {
            Err(value_error(name, value, "`y` or `n`"))
        }
        "drmaa_transfer_files" => {
            let once = |c: char| value.chars().filter(|other| *other == c).count() == 1;
            let fits = value.chars().all(|c| "eio".contains(c) && once(c));
            if fits {
                Ok(())
            } else {
                Err(value_error(
                    name,
                    value,
                    "made of `e`, `i` and `o`, each at most once",
                ))
            }
        }
        "drmaa_start_time" | "drmaa_deadline_time" => Partial::parse(value).map(drop),
        "drmaa_wct_hlimit"
        | "drmaa_wct_slimit"
        | "drmaa_durartion_hlimit"
        | "drmaa_durartion_slimit" => seconds(name, value).map(drop),
        "drmaa_input_path" | "drmaa_output_path" | "drmaa_error_path" => path(name, value),
        "drmaa_wd" if value.rfind(HOME).is_some_and(|at| at > 0) || value.contains(WORKING) => Err(
            format_error(name, value, "a directory that may begin with $drmaa_hd_ph$"),
        ),
        _ => Ok(()),
    }
}

impl JobTemplate {
    /// A template with no attribute set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets an attribute with one value. An empty value unsets it.
    ///
    /// # Errors
    /// `InvalidArgument` for an unknown name; `InvalidAttributeFormat` or `InvalidAttributeValue` with
    /// the form that is wanted.
    pub fn set(&mut self, name: &str, value: &str) -> Result<()> {
        let name = canonical(name);
        if !SCALARS.contains(&name) {
            return Err(unknown(name, &SCALARS));
        }
        if value.is_empty() {
            self.scalars.remove(name);
            return Ok(());
        }
        check(name, value)?;
        self.scalars.insert(name.to_owned(), value.to_owned());
        Ok(())
    }

    /// Sets an attribute with a list of values.
    ///
    /// # Errors
    /// `InvalidArgument` for an unknown name; `InvalidAttributeFormat` for an environment entry that is
    /// not `NAME=VALUE`.
    pub fn set_vector(&mut self, name: &str, values: Vec<String>) -> Result<()> {
        if !VECTORS.contains(&name) {
            return Err(unknown(name, &VECTORS));
        }
        if let Some(odd) = values
            .iter()
            .find(|v| name == "drmaa_v_env" && !v.contains('='))
        {
            return Err(format_error(name, odd, "of the form NAME=VALUE"));
        }
        self.vectors.insert(name.to_owned(), values);
        Ok(())
    }

    /// An attribute with one value, if set.
    ///
    /// # Errors
    /// `InvalidArgument` for an unknown name.
    pub fn get(&self, name: &str) -> Result<Option<&str>> {
        let name = canonical(name);
        if !SCALARS.contains(&name) {
            return Err(unknown(name, &SCALARS));
        }
        Ok(self.scalars.get(name).map(String::as_str))
    }

    /// An attribute with a list of values, if set.
    ///
    /// # Errors
    /// `InvalidArgument` for an unknown name.
    pub fn get_vector(&self, name: &str) -> Result<Option<&[String]>> {
        if !VECTORS.contains(&name) {
            return Err(unknown(name, &VECTORS));
        }
        Ok(self.vectors.get(name).map(Vec::as_slice))
    }

    /// What the template means when it is submitted at `now`: partial times are made whole.
    ///
    /// # Errors
    /// `ConflictingAttributeValues` for a deadline before the start or a soft limit over the hard one,
    /// `InvalidAttributeValue` for a day that no calendar has.
    pub fn spec(&self, now: &Zoned) -> Result<JobSpec> {
        let get = |name: &str| self.scalars.get(name).cloned().unwrap_or_default();
        let list = |name: &str| self.vectors.get(name).cloned().unwrap_or_default();
        let time = |name: &str| -> Result<Option<i64>> {
            let text = self.scalars.get(name);
            text.map(|text| Partial::parse(text)?.resolve(now))
                .transpose()
        };
        let limit = |name: &str| -> Result<Option<u64>> {
            self.scalars
                .get(name)
                .map(|text| seconds(name, text))
                .transpose()
        };
        let spec = JobSpec {
            command: get("drmaa_remote_command"),
            args: list("drmaa_v_argv"),
            env: list("drmaa_v_env"),
            email: list("drmaa_v_email"),
            block_email: get("drmaa_block_email") == "1",
            hold: get("drmaa_js_state") == "drmaa_hold",
            directory: get("drmaa_wd"),
            category: get("drmaa_job_category"),
            native: get("drmaa_native_specification"),
            name: get("drmaa_job_name"),
            input: get("drmaa_input_path"),
            output: get("drmaa_output_path"),
            error: get("drmaa_error_path"),
            join_files: get("drmaa_join_files") == "y",
            transfer: get("drmaa_transfer_files"),
            start: time("drmaa_start_time")?,
            deadline: time("drmaa_deadline_time")?,
            wall_hard: limit("drmaa_wct_hlimit")?,
            wall_soft: limit("drmaa_wct_slimit")?,
            run_hard: limit("drmaa_durartion_hlimit")?,
            run_soft: limit("drmaa_durartion_slimit")?,
        };
        spec.check()?;
        Ok(spec)
    }
}

fn unknown(name: &str, known: &[&str]) -> Error {
    let near = nearest(name, known)
        .map(|near| format!("; did you mean `{near}`?"))
        .unwrap_or_default();
    Error::new(
        ErrorCode::InvalidArgument,
        format!("`{name}` is no such attribute{near}"),
    )
}

/// The known name that `name` was most likely meant to be, where one is close.
pub fn nearest<'a>(name: &str, known: &[&'a str]) -> Option<&'a str> {
    let scored = known
        .iter()
        .map(|known| (strsim::damerau_levenshtein(name, known), *known));
    let (distance, found) = scored.min()?;
    (distance <= 1 + name.chars().count() / 4).then_some(found)
}

/// A template as it is submitted: times whole (seconds since 1970 UTC), everything else as it was set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JobSpec {
    /// `drmaa_remote_command`.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub command: String,
    /// `drmaa_v_argv`.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub args: Vec<String>,
    /// `drmaa_v_env`, each `NAME=VALUE`.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub env: Vec<String>,
    /// `drmaa_v_email`.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub email: Vec<String>,
    /// `drmaa_block_email`.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub block_email: bool,
    /// `drmaa_js_state` is `drmaa_hold`.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub hold: bool,
    /// `drmaa_wd`.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub directory: String,
    /// `drmaa_job_category`.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub category: String,
    /// `drmaa_native_specification`.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub native: String,
    /// `drmaa_job_name`.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub name: String,
    /// `drmaa_input_path`.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub input: String,
    /// `drmaa_output_path`.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub output: String,
    /// `drmaa_error_path`.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub error: String,
    /// `drmaa_join_files` is `y`.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub join_files: bool,
    /// `drmaa_transfer_files`.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub transfer: String,
    /// `drmaa_start_time`: not placed before.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub start: Option<i64>,
    /// `drmaa_deadline_time`: not started after.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline: Option<i64>,
    /// `drmaa_wct_hlimit`, seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub wall_hard: Option<u64>,
    /// `drmaa_wct_slimit`, seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub wall_soft: Option<u64>,
    /// `drmaa_durartion_hlimit`, seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub run_hard: Option<u64>,
    /// `drmaa_durartion_slimit`, seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub run_soft: Option<u64>,
}

impl JobSpec {
    /// Checks what only shows once all attributes are known. A placer checks again: a spec may come
    /// from any client.
    ///
    /// # Errors
    /// `ConflictingAttributeValues` for a deadline before the start or a soft limit over the hard one.
    pub fn check(&self) -> Result<()> {
        let over =
            |soft: Option<u64>, hard: Option<u64>| soft.zip(hard).is_some_and(|(s, h)| s > h);
        let conflict = |text: String| Err(Error::new(ErrorCode::ConflictingAttributeValues, text));
        if let (Some(start), Some(deadline)) = (self.start, self.deadline)
            && deadline < start
        {
            let (start, deadline) = (timestamp::format(start), timestamp::format(deadline));
            return conflict(format!(
                "drmaa_deadline_time {deadline} is before drmaa_start_time {start}"
            ));
        }
        if over(self.wall_soft, self.wall_hard) {
            return conflict("drmaa_wct_slimit is over drmaa_wct_hlimit".to_owned());
        }
        if over(self.run_soft, self.run_hard) {
            return conflict("drmaa_durartion_slimit is over drmaa_durartion_hlimit".to_owned());
        }
        Ok(())
    }

    /// The spec of one job of a bulk submission: the index placeholder filled in. The placeholders for
    /// home and working directory stay, as only the node knows what they stand for.
    pub fn at_index(&self, index: u64) -> Self {
        let fill = |text: &str| text.replace(INDEX, &index.to_string());
        Self {
            directory: fill(&self.directory),
            input: fill(&self.input),
            output: fill(&self.output),
            error: fill(&self.error),
            ..self.clone()
        }
    }
}

/// A path with the placeholders of home and working directory filled in, as a node does it.
pub fn expand(text: &str, home: &str, working: &str) -> String {
    text.replacen(HOME, home, 1).replacen(WORKING, working, 1)
}

#[cfg(test)]
mod tests {
    use super::*;
    use jiff::Timestamp;
    use jiff::tz::TimeZone;

    fn now() -> Zoned {
        Timestamp::from_second(1_768_478_400)
            .unwrap()
            .to_zoned(TimeZone::UTC)
    }

    #[test]
    fn values_are_checked_as_they_are_set() {
        use ErrorCode::{InvalidArgument, InvalidAttributeFormat, InvalidAttributeValue};
        let wrong = [
            ("drmaa_js_state", "held", InvalidAttributeValue),
            ("drmaa_join_files", "yes", InvalidAttributeValue),
            ("drmaa_transfer_files", "ioo", InvalidAttributeValue),
            ("drmaa_block_email", "2", InvalidAttributeValue),
            ("drmaa_wct_hlimit", "1:2:3:4", InvalidAttributeFormat),
            ("drmaa_input_path", "/no/colon", InvalidAttributeFormat),
            (
                "drmaa_output_path",
                ":/a/$drmaa_hd_ph$/b",
                InvalidAttributeFormat,
            ),
            ("drmaa_wd", "/a/$drmaa_hd_ph$", InvalidAttributeFormat),
            ("drmaa_start_time", "25:00", InvalidAttributeFormat),
            ("drmaa_job_nane", "x", InvalidArgument),
        ];
        let mut template = JobTemplate::new();
        for (name, value, code) in wrong {
            assert_eq!(template.set(name, value).unwrap_err().code, code, "{name}");
        }
        assert_eq!(template, JobTemplate::new());
        let near = template.set("drmaa_job_nane", "x").unwrap_err();
        assert!(near.message.contains("drmaa_job_name"), "{near}");
    }

    #[test]
    fn both_spellings_of_the_duration_limits_name_one_attribute() {
        let mut template = JobTemplate::new();
        template.set("drmaa_durartion_hlimit", "1:00").unwrap();
        assert_eq!(template.get("drmaa_duration_hlimit").unwrap(), Some("1:00"));
        assert_eq!(template.spec(&now()).unwrap().run_hard, Some(60));
    }

    #[test]
    fn contradictions_are_found_at_submission() {
        let mut template = JobTemplate::new();
        template
            .set("drmaa_start_time", "2026/03/02 10:00")
            .unwrap();
        template
            .set("drmaa_deadline_time", "2026/03/01 10:00")
            .unwrap();
        let code = template.spec(&now()).unwrap_err().code;
        assert_eq!(code, ErrorCode::ConflictingAttributeValues);
        template.set("drmaa_deadline_time", "").unwrap();
        template.set("drmaa_wct_hlimit", "10").unwrap();
        template.set("drmaa_wct_slimit", "1:00:00").unwrap();
        let code = template.spec(&now()).unwrap_err().code;
        assert_eq!(code, ErrorCode::ConflictingAttributeValues);
    }

    #[test]
    fn placeholders_are_filled_where_they_are_known() {
        let mut template = JobTemplate::new();
        template
            .set("drmaa_output_path", ":$drmaa_hd_ph$/out.$drmaa_incr_ph$")
            .unwrap();
        let spec = template.spec(&now()).unwrap().at_index(7);
        assert_eq!(spec.output, ":$drmaa_hd_ph$/out.7");
        assert_eq!(expand(&spec.output, "/home/a", "/work"), ":/home/a/out.7");
    }

    #[test]
    fn a_spec_survives_its_json() {
        let mut template = JobTemplate::new();
        template.set("drmaa_remote_command", "sleep").unwrap();
        template
            .set_vector("drmaa_v_argv", vec!["1".into()])
            .unwrap();
        let spec = template.spec(&now()).unwrap();
        let text = serde_json::to_string(&spec).unwrap();
        assert_eq!(text, r#"{"command":"sleep","args":["1"]}"#);
        assert_eq!(serde_json::from_str::<JobSpec>(&text).unwrap(), spec);
    }
}
