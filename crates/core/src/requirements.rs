//! What a job requires: its template, its category and its class made into one.

use std::sync::Arc;

use reedring::Micros;
use reedring_constraint::{Mistake, Own, Schema, Topic};
use reedring_drmaa::native::Native;
use reedring_drmaa::template::nearest;
use reedring_drmaa::{Error, ErrorCode, JobSpec, Result};
use reedring_node_protocol::{MAX_NAME, MAX_PAYLOAD};
use reedring_settings::Settings;
use reedring_state as state;

use crate::constraints::{ConstrainedJob, JobConstraint};

/// Bytes of a template that are left for the digits of an index in each place that may hold one.
const INDEX_DIGITS_RESERVE: usize = 256;

/// A job's template with what follows from it. All jobs of one submission share it.
#[derive(Debug, PartialEq)]
pub(crate) struct JobRequirements {
    pub spec: JobSpec,
    pub class: u16,
    pub tenant: u16,
    pub service: String,
    /// The key of a keyed class, before the index of a bulk submission is added.
    pub key: Option<String>,
    pub cores: f64,
    pub memory: f64,
    pub life_us: Option<Micros>,
    /// Where it may be placed, if it says so.
    pub constraint: Option<Arc<JobConstraint>>,
    pub own: Own,
    /// What its copies count as for others' constraints.
    pub topics: Arc<Vec<Topic>>,
}

/// What a job of a former incarnation required, where the settings no longer know it.
#[derive(Debug)]
pub(crate) struct UnusableRequirements {
    /// What is left of it, to show.
    pub remaining: Arc<JobRequirements>,
    /// What the settings do not know.
    pub reason: String,
}

impl UnusableRequirements {
    fn new(
        row: Option<&state::JobTemplate>,
        spec: Option<JobSpec>,
        reason: impl Into<String>,
    ) -> Self {
        let own = Own::service("", "");
        let topics = Arc::new(own.topics(&[]));
        let remaining = JobRequirements {
            spec: spec.unwrap_or_default(),
            class: 0,
            tenant: 0,
            service: row.map(|row| row.service.clone()).unwrap_or_default(),
            key: None,
            cores: 0.0,
            memory: 0.0,
            life_us: None,
            constraint: None,
            own,
            topics,
        };
        Self {
            remaining: Arc::new(remaining),
            reason: reason.into(),
        }
    }
}

fn invalid(message: String) -> Error {
    Error::new(ErrorCode::InvalidAttributeValue, message)
}

/// A name among those of the settings.
fn position(name: &str, known: &[&str], what: &str) -> Result<u16> {
    let at = known.iter().position(|known| *known == name);
    let at = at.ok_or_else(|| {
        let near = nearest(name, known).map(|near| format!("did you mean `{near}`?"));
        let fix = near.unwrap_or_else(|| format!("known are {}", known.join(", ")));
        invalid(format!("`{name}` is no {what} of this placer; {fix}"))
    })?;
    Ok(at as u16)
}

impl JobRequirements {
    /// The job as constraints see it, if it has one.
    pub fn constrained_job(&self) -> Option<ConstrainedJob> {
        let constraint = Arc::clone(self.constraint.as_ref()?);
        Some(ConstrainedJob {
            constraint,
            own: self.own.clone(),
            topics: Arc::clone(&self.topics),
        })
    }

    /// What a job of a former incarnation requires, as it was then.
    ///
    /// # Errors
    /// Where the settings no longer know it, or its row is missing.
    pub fn restore(
        row: Option<&state::JobTemplate>,
        settings: &Settings,
    ) -> std::result::Result<Arc<Self>, UnusableRequirements> {
        let spec = row.and_then(|row| serde_json::from_str::<JobSpec>(&row.template_json).ok());
        let Some((row, known_spec)) = row.zip(spec.clone()) else {
            return Err(UnusableRequirements::new(
                row,
                spec,
                "its template is missing",
            ));
        };
        let mut made = match Self::new(known_spec, settings, None) {
            Ok(made) => made,
            Err(error) => return Err(UnusableRequirements::new(Some(row), spec, error.message)),
        };
        let class = settings
            .classes
            .iter()
            .position(|class| class.name == row.class);
        let tenant = settings
            .tenants
            .iter()
            .position(|tenant| *tenant == row.tenant);
        let Some((class, tenant)) = class.zip(tenant) else {
            let reason = format!("class `{}` or tenant `{}`", row.class, row.tenant);
            return Err(UnusableRequirements {
                remaining: Arc::new(made),
                reason,
            });
        };
        (made.class, made.tenant) = (class as u16, tenant as u16);
        (made.cores, made.memory, made.life_us) = (row.cores, row.memory, row.run_time_us);
        made.service.clone_from(&row.service);
        Ok(Arc::new(made))
    }

    /// Makes one of a template.
    ///
    /// # Errors
    /// `DeniedByDrm` for a template without a command, `InvalidAttributeValue` for an unknown category, class or tenant
    /// or a wrong constraint, and what [`Native::parse`] and [`JobSpec::check`] return. The constraint is checked against
    /// `schema` too, where one is given.
    pub fn new(spec: JobSpec, settings: &Settings, schema: Option<&Schema>) -> Result<Self> {
        check_template(&spec)?;
        let native = native_of(&spec, settings)?;
        let classes: Vec<&str> = settings
            .classes
            .iter()
            .map(|class| class.name.as_str())
            .collect();
        let class = native
            .class
            .as_deref()
            .map_or(Ok(0), |name| position(name, &classes, "class"))?;
        let tenants: Vec<&str> = settings.tenants.iter().map(String::as_str).collect();
        let tenant = native
            .tenant
            .as_deref()
            .map_or(Ok(0), |name| position(name, &tenants, "tenant"))?;
        let class_settings = &settings.classes[usize::from(class)];
        // Where none is named, the jobs of one program in one class are one service.
        let service = native
            .service
            .unwrap_or_else(|| format!("{}:{}", class_settings.name, spec.command));
        if service.len() > MAX_NAME {
            let text = format!(
                "the service has {} bytes, at most {MAX_NAME} fit",
                service.len()
            );
            return Err(invalid(text));
        }
        let own = Own::service(&class_settings.name, &service);
        let constraint = match native.constraint.as_deref() {
            Some(text) => Some(Arc::new(parse_constraint(text, &own, settings, schema)?)),
            None => None,
        };
        let topics = Arc::new(own.topics(&native.labels.unwrap_or_default()));
        Ok(Self {
            constraint,
            own,
            topics,
            class,
            tenant,
            service,
            key: native.key,
            cores: native.cores.unwrap_or(class_settings.cores),
            memory: native.memory.unwrap_or(class_settings.memory),
            life_us: native.life_us,
            spec,
        })
    }
}

fn check_template(spec: &JobSpec) -> Result<()> {
    spec.check()?;
    if spec.command.is_empty() {
        return Err(Error::new(
            ErrorCode::DeniedByDrm,
            "drmaa_remote_command is not set",
        ));
    }
    let size = serde_json::to_vec(spec).map_or(usize::MAX, |bytes| bytes.len());
    let limit = MAX_PAYLOAD - INDEX_DIGITS_RESERVE;
    if size > limit {
        return Err(invalid(format!(
            "the template has {size} bytes, at most {limit} fit"
        )));
    }
    Ok(())
}

/// The native specification of a template, completed by that of its category.
fn native_of(spec: &JobSpec, settings: &Settings) -> Result<Native> {
    let own = Native::parse(&spec.native)?;
    if spec.category.is_empty() {
        return Ok(own);
    }
    let names: Vec<&str> = settings
        .categories
        .iter()
        .map(|category| category.name.as_str())
        .collect();
    let at = position(&spec.category, &names, "job category")?;
    Ok(own.or(&settings.categories[usize::from(at)].native))
}

fn parse_constraint(
    text: &str,
    own: &Own,
    settings: &Settings,
    schema: Option<&Schema>,
) -> Result<JobConstraint> {
    let wrong = |mistake: Mistake| invalid(format!("constraint: {mistake}"));
    let constraint = settings.constraint(text).map_err(wrong)?;
    schema
        .map_or(Ok(()), |schema| schema.check(&constraint, text))
        .map_err(wrong)?;
    Ok(JobConstraint::new(constraint, own))
}
