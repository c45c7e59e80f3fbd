//! What a job requires, derived from its template, its job category and its class.

use std::sync::Arc;

use reedring::Micros;
use reedring_constraint::{ConstraintError, OwnService, Schema, Topic};
use reedring_drmaa::native::Native;
use reedring_drmaa::template::nearest;
use reedring_drmaa::{Error, ErrorCode, JobSpec, Result};
use reedring_node_protocol::{MAX_NAME, MAX_PAYLOAD};
use reedring_settings::Settings;
use reedring_state as state;

use crate::constraints::{ConstrainedJob, JobConstraint};

/// Bytes of the payload limit that are reserved for the digits of the index, which replaces each placeholder in a bulk
/// template.
const INDEX_DIGITS_RESERVE: usize = 256;

/// A job's template and the values derived from it. All jobs of a submission share it.
#[derive(Debug, PartialEq)]
pub(crate) struct JobRequirements {
    pub spec: JobSpec,
    /// The class, as its index in the settings.
    pub class: u16,
    /// The tenant, as its index in the settings.
    pub tenant: u16,
    pub service: String,
    /// The client's idempotency key, if any, without the index of a bulk submission.
    pub key: Option<String>,
    pub cores: f64,
    pub memory: f64,
    /// The expected run time in microseconds, if the template gives one.
    pub expected_run_time_us: Option<Micros>,
    /// The placement constraint, if the template has one.
    pub constraint: Option<Arc<JobConstraint>>,
    /// The job's own class and service, to which its constraint may refer.
    pub own: OwnService,
    /// The topics under which its copies count for the constraints of other jobs.
    pub topics: Arc<Vec<Topic>>,
}

/// The requirements of a job of a former incarnation that don't fit the current settings.
#[derive(Debug)]
pub(crate) struct UnusableRequirements {
    /// The part that is known, to be shown to clients and operators.
    pub remaining: Arc<JobRequirements>,
    /// What is missing, or unknown in the settings.
    pub reason: String,
}

impl UnusableRequirements {
    fn new(
        row: Option<&state::JobTemplate>,
        spec: Option<JobSpec>,
        reason: impl Into<String>,
    ) -> Self {
        let own = OwnService::new("", "");
        let topics = Arc::new(own.topics(&[]));
        let remaining = JobRequirements {
            spec: spec.unwrap_or_default(),
            class: 0,
            tenant: 0,
            service: row.map(|row| row.service.clone()).unwrap_or_default(),
            key: None,
            cores: 0.0,
            memory: 0.0,
            expected_run_time_us: None,
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

/// The index of a name among the known names; `what` says in the error what they name.
fn index_of(name: &str, known: &[&str], what: &str) -> Result<u16> {
    let index = known.iter().position(|known| *known == name);
    let index = index.ok_or_else(|| {
        let suggestion = nearest(name, known).map(|nearest| format!("did you mean `{nearest}`?"));
        let hint = suggestion.unwrap_or_else(|| format!("the known ones are {}", known.join(", ")));
        invalid(format!("`{name}` is not a {what} of this placer; {hint}"))
    })?;
    Ok(index as u16)
}

impl JobRequirements {
    /// The job as an input to constraint evaluation; `None` where it has no constraint.
    pub fn constrained_job(&self) -> Option<ConstrainedJob> {
        let constraint = Arc::clone(self.constraint.as_ref()?);
        Some(ConstrainedJob {
            constraint,
            own: self.own.clone(),
            topics: Arc::clone(&self.topics),
        })
    }

    /// The requirements of a job of a former incarnation, with the values that its row recorded.
    ///
    /// # Errors
    /// [`UnusableRequirements`] where the row is missing or can't be read, or where the settings no longer have the
    /// category, class or tenant, or reject the template.
    pub fn restore(
        row: Option<&state::JobTemplate>,
        settings: &Settings,
    ) -> std::result::Result<Arc<Self>, UnusableRequirements> {
        let spec = row.and_then(|row| serde_json::from_str::<JobSpec>(&row.template_json).ok());
        let Some((row, known_spec)) = row.zip(spec.clone()) else {
            return Err(UnusableRequirements::new(
                row,
                spec,
                "its template is missing or can't be read",
            ));
        };
        let mut requirements = match Self::new(known_spec, settings, None) {
            Ok(requirements) => requirements,
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
                remaining: Arc::new(requirements),
                reason,
            });
        };
        (requirements.class, requirements.tenant) = (class as u16, tenant as u16);
        (requirements.cores, requirements.memory) = (row.cores, row.memory);
        requirements.expected_run_time_us = row.run_time_us;
        requirements.service.clone_from(&row.service);
        Ok(Arc::new(requirements))
    }

    /// The requirements of a job with this template.
    ///
    /// # Errors
    /// `DeniedByDrm` for a template without a command; `InvalidAttributeValue` for a template or service name that is
    /// too long, for an unknown category, class or tenant, and for an invalid constraint; and those of
    /// [`Native::parse`] and [`JobSpec::check`]. The constraint is also checked against `schema`, where one is given.
    pub fn new(spec: JobSpec, settings: &Settings, schema: Option<&Schema>) -> Result<Self> {
        check_template(&spec)?;
        let native = resolve_native(&spec, settings)?;
        let classes: Vec<&str> = settings
            .classes
            .iter()
            .map(|class| class.name.as_str())
            .collect();
        let class = native
            .class
            .as_deref()
            .map_or(Ok(0), |name| index_of(name, &classes, "class"))?;
        let tenants: Vec<&str> = settings.tenants.iter().map(String::as_str).collect();
        let tenant = native
            .tenant
            .as_deref()
            .map_or(Ok(0), |name| index_of(name, &tenants, "tenant"))?;
        let class_settings = &settings.classes[usize::from(class)];
        // Without a service name, all jobs of a class that run the same program are one service.
        let service = native
            .service
            .unwrap_or_else(|| format!("{}:{}", class_settings.name, spec.command));
        if service.len() > MAX_NAME {
            let text = format!(
                "the service name has {} bytes, the limit is {MAX_NAME}",
                service.len()
            );
            return Err(invalid(text));
        }
        let own = OwnService::new(&class_settings.name, &service);
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
            expected_run_time_us: native.life_us,
            spec,
        })
    }
}

/// Checks that a template is valid, has a command, and fits into the payload of an offer.
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
            "the template has {size} bytes, the limit is {limit}"
        )));
    }
    Ok(())
}

/// The native specification of a template. Values that it does not give are those of its category.
fn resolve_native(spec: &JobSpec, settings: &Settings) -> Result<Native> {
    let own = Native::parse(&spec.native)?;
    if spec.category.is_empty() {
        return Ok(own);
    }
    let names: Vec<&str> = settings
        .categories
        .iter()
        .map(|category| category.name.as_str())
        .collect();
    let category = index_of(&spec.category, &names, "job category")?;
    Ok(own.or(&settings.categories[usize::from(category)].native))
}

/// Parses a constraint and checks it against `schema`, where one is given.
fn parse_constraint(
    text: &str,
    own: &OwnService,
    settings: &Settings,
    schema: Option<&Schema>,
) -> Result<JobConstraint> {
    let invalid_constraint = |mistake: ConstraintError| invalid(format!("constraint: {mistake}"));
    let constraint = settings.constraint(text).map_err(invalid_constraint)?;
    schema
        .map_or(Ok(()), |schema| schema.check(&constraint, text))
        .map_err(invalid_constraint)?;
    Ok(JobConstraint::new(constraint, own))
}
