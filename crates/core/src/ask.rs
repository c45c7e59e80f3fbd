//! What a job asks for: its template, its category and its class made into one.

use std::sync::Arc;

use reedring::Micros;
use reedring_constraint::{Mistake, Own, Schema, Topic};
use reedring_drmaa::native::Native;
use reedring_drmaa::template::nearest;
use reedring_drmaa::{Error, ErrorCode, JobSpec, Result};
use reedring_node_protocol::{MAX_NAME, MAX_PAYLOAD};
use reedring_settings::Settings;
use reedring_state as state;

use crate::constrain::{Bound, Subject};

/// A job's template with what it comes to. All jobs of one submission share it.
#[derive(Debug, PartialEq)]
pub(crate) struct Ask {
    pub spec: JobSpec,
    pub class: u16,
    pub tenant: u16,
    pub service: String,
    /// The key of a keyed class, before the index of a bulk submission is added.
    pub key: Option<String>,
    pub cores: f64,
    pub memory: f64,
    pub life_us: Option<Micros>,
    /// Where it may stand, if it says so.
    pub bound: Option<Arc<Bound>>,
    pub own: Own,
    /// What its copies count as for others' constraints.
    pub topics: Arc<Vec<Topic>>,
}

fn denied(code: ErrorCode, message: String) -> Error {
    Error::new(code, message)
}

/// A name among those of the settings.
fn position(name: &str, known: &[&str], what: &str) -> Result<u16> {
    let at = known.iter().position(|known| *known == name);
    let at = at.ok_or_else(|| {
        let near = nearest(name, known).map(|near| format!("did you mean `{near}`?"));
        let fix = near.unwrap_or_else(|| format!("known are {}", known.join(", ")));
        denied(
            ErrorCode::InvalidAttributeValue,
            format!("`{name}` is no {what} of this placer; {fix}"),
        )
    })?;
    Ok(at as u16)
}

impl Ask {
    /// What its constraint is about, if it has one.
    pub fn subject(&self) -> Option<Subject> {
        let bound = Arc::clone(self.bound.as_ref()?);
        Some(Subject {
            bound,
            own: self.own.clone(),
            topics: Arc::clone(&self.topics),
        })
    }

    /// What a job of a former life asks for, as it was then. An error has what is left of it, and what the
    /// settings no longer know.
    pub fn restore(
        kept: Option<&state::JobTemplate>,
        settings: &Settings,
    ) -> std::result::Result<Arc<Self>, (Arc<Self>, String)> {
        let spec = kept.and_then(|kept| serde_json::from_str::<JobSpec>(&kept.template_json).ok());
        let made = match (&kept, spec.clone()) {
            (Some(_), Some(spec)) => Self::new(spec, settings, None).map_err(|error| error.message),
            _ => Err("its template is missing".to_owned()),
        };
        match (made, kept) {
            (Ok(mut ask), Some(kept)) => {
                let class = settings
                    .classes
                    .iter()
                    .position(|class| class.name == kept.class);
                let tenant = settings
                    .tenants
                    .iter()
                    .position(|tenant| *tenant == kept.tenant);
                let Some((class, tenant)) = class.zip(tenant) else {
                    let why = format!("class `{}` or tenant `{}`", kept.class, kept.tenant);
                    return Err((Arc::new(ask), why));
                };
                (ask.class, ask.tenant) = (class as u16, tenant as u16);
                (ask.cores, ask.memory, ask.life_us) = (kept.cores, kept.memory, kept.run_time_us);
                ask.service = kept.service.clone();
                Ok(Arc::new(ask))
            }
            (made, _) => {
                let own = Own::service("", "");
                let topics = Arc::new(own.topics(&[]));
                let rest = Self {
                    spec: spec.unwrap_or_default(),
                    class: 0,
                    tenant: 0,
                    service: kept.map(|kept| kept.service.clone()).unwrap_or_default(),
                    key: None,
                    cores: 0.0,
                    memory: 0.0,
                    life_us: None,
                    bound: None,
                    own,
                    topics,
                };
                Err((Arc::new(rest), made.err().unwrap_or_default()))
            }
        }
    }

    /// Makes one of a template.
    ///
    /// # Errors
    /// `DeniedByDrm` for a template without a command, `InvalidAttributeValue` for an unknown category,
    /// class or tenant or a wrong constraint, and what [`Native::parse`] and [`JobSpec::check`] say. The
    /// constraint is checked against `schema` too, where one is given.
    pub fn new(spec: JobSpec, settings: &Settings, schema: Option<&Schema>) -> Result<Self> {
        spec.check()?;
        if spec.command.is_empty() {
            return Err(denied(
                ErrorCode::DeniedByDrm,
                "drmaa_remote_command is not set".to_owned(),
            ));
        }
        let size = serde_json::to_vec(&spec).map_or(usize::MAX, |bytes| bytes.len());
        // Room for the digits of an index in each place that may hold one.
        if size + 256 > MAX_PAYLOAD {
            let text = format!(
                "the template has {size} bytes, at most {} fit",
                MAX_PAYLOAD - 256
            );
            return Err(denied(ErrorCode::InvalidAttributeValue, text));
        }
        let own = Native::parse(&spec.native)?;
        let native = match spec.category.as_str() {
            "" => own,
            name => {
                let names: Vec<&str> = settings
                    .categories
                    .iter()
                    .map(|c| c.name.as_str())
                    .collect();
                let at = position(name, &names, "job category")?;
                own.or(&settings.categories[usize::from(at)].native)
            }
        };
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
        let told = &settings.classes[usize::from(class)];
        // Without a word, the jobs of one program in one class are one service.
        let service = native
            .service
            .unwrap_or_else(|| format!("{}:{}", told.name, spec.command));
        if service.len() > MAX_NAME {
            let text = format!(
                "the service has {} bytes, at most {MAX_NAME} fit",
                service.len()
            );
            return Err(denied(ErrorCode::InvalidAttributeValue, text));
        }
        let own = Own::service(&told.name, &service);
        let wrong = |mistake: Mistake| {
            denied(
                ErrorCode::InvalidAttributeValue,
                format!("constraint: {mistake}"),
            )
        };
        let bound = match native.constraint.as_deref() {
            Some(text) => {
                let constraint = settings.constraint(text).map_err(wrong)?;
                schema
                    .map_or(Ok(()), |schema| schema.check(&constraint, text))
                    .map_err(wrong)?;
                Some(Arc::new(Bound::new(constraint, &own)))
            }
            None => None,
        };
        let topics = Arc::new(own.topics(&native.labels.unwrap_or_default()));
        Ok(Self {
            bound,
            own,
            topics,
            class,
            tenant,
            service,
            key: native.key,
            cores: native.cores.unwrap_or(told.cores),
            memory: native.memory.unwrap_or(told.memory),
            life_us: native.life_us,
            spec,
        })
    }
}
