//! Messages to bytes and back. Each length is bounded before anything is read by it.

use winnow::binary::{be_f64, be_u16, be_u32, be_u64, length_take, u8};
use winnow::error::{ContextError, ErrMode, StrContext};
use winnow::prelude::*;

use crate::delta::{delta, put_delta};
use crate::frame::{FrameError, Reader};
use crate::message::{
    AttemptId, End, Group, Held, HeldState, Message, Reason, Repeat, Task, Topic,
};
use crate::versions::{
    AcceptedVersion, AcceptorReport, Ballot, ConfigDigest, ConfigRequest, ConfigVersion, DeltaStep,
    VersionStamp,
};
use crate::{MAX_NAME, MAX_PAYLOAD, MAX_PLAN, MAX_REPORT, MAX_TEXT};

mod kind {
    pub const HELLO: u8 = 1;
    pub const OFFER: u8 = 2;
    pub const STOP: u8 = 3;
    pub const PROBE: u8 = 4;
    pub const SUSPEND: u8 = 5;
    pub const RESUME: u8 = 6;
    pub const ACK: u8 = 7;
    pub const PLAN: u8 = 8;
    pub const WELCOME: u8 = 65;
    pub const HOLDS: u8 = 66;
    pub const ACCEPTED: u8 = 67;
    pub const REFUSED: u8 = 68;
    pub const NOTE: u8 = 69;
    pub const ENDED: u8 = 70;
    pub const REPORT: u8 = 71;
    pub const RECORD: u8 = 72;
    pub const PLAN_TEXT: u8 = 73;
    pub const PLAN_DELTA: u8 = 74;
}

// ---- Writing ----

fn cut(text: &str, most: usize) -> &str {
    &text[..text.floor_char_boundary(most.min(text.len()))]
}

pub(crate) fn put_text(out: &mut Vec<u8>, text: &str, most: usize) {
    let text = cut(text, most);
    out.extend_from_slice(&(text.len() as u16).to_be_bytes());
    out.extend_from_slice(text.as_bytes());
}

fn put_report(out: &mut Vec<u8>, report: &[f64]) {
    let report = &report[..report.len().min(MAX_REPORT)];
    out.push(report.len() as u8);
    report
        .iter()
        .for_each(|value| out.extend_from_slice(&value.to_be_bytes()));
}

fn put_attempt(out: &mut Vec<u8>, attempt: AttemptId) {
    out.extend_from_slice(&attempt.life.to_be_bytes());
    out.extend_from_slice(&attempt.request.to_be_bytes());
    out.extend_from_slice(&attempt.number.to_be_bytes());
}

fn put_task(out: &mut Vec<u8>, task: &Task) {
    for name in [
        &task.session,
        &task.job,
        &task.class,
        &task.tenant,
        &task.service,
    ] {
        put_text(out, name, MAX_NAME);
    }
    out.push(match task.repeat {
        Repeat::Safe => 0,
        Repeat::Keyed => 1,
        Repeat::Unsafe => 2,
    });
    out.push(match task.group {
        Group::All => 0,
        Group::Hall => 1,
        Group::Rack => 2,
    });
    out.extend_from_slice(&task.window_ms.to_be_bytes());
    out.extend_from_slice(&task.key.to_be_bytes());
    out.extend_from_slice(&task.cores.to_be_bytes());
    out.extend_from_slice(&task.memory.to_be_bytes());
    out.extend_from_slice(&task.life_ms.to_be_bytes());
    let payload = &task.payload[..task.payload.len().min(MAX_PAYLOAD)];
    out.extend_from_slice(&(payload.len() as u16).to_be_bytes());
    out.extend_from_slice(payload);
}

fn put_end(out: &mut Vec<u8>, end: &End) {
    let (code, detail, text) = match end {
        End::Exited(status) => (0, *status, ""),
        End::Signaled(signal) => (1, *signal, ""),
        End::Evicted => (2, 0, ""),
        End::PushedOut => (3, 0, ""),
        End::SentAway => (4, 0, ""),
        End::Stopped => (5, 0, ""),
        End::Error(text) => (6, 0, text.as_str()),
        End::Unknown => (7, 0, ""),
    };
    out.extend_from_slice(&[code, detail]);
    put_text(out, text, MAX_TEXT);
}

pub(crate) fn put_version(out: &mut Vec<u8>, version: &ConfigVersion) {
    out.extend_from_slice(&version.number.to_be_bytes());
    out.extend_from_slice(&version.digest.0);
}

fn put_ballot(out: &mut Vec<u8>, ballot: &Ballot) {
    out.extend_from_slice(&ballot.round.to_be_bytes());
    out.extend_from_slice(&ballot.by.to_be_bytes());
}

fn put_stamp(out: &mut Vec<u8>, stamp: &VersionStamp) {
    put_version(out, &stamp.version);
    out.push(u8::from(stamp.joint));
    out.extend_from_slice(&stamp.list.to_be_bytes());
    out.extend_from_slice(&stamp.build.to_be_bytes());
}

fn put_record(out: &mut Vec<u8>, record: &AcceptorReport) {
    put_version(out, &record.force);
    out.push(u8::from(record.next.is_some()));
    if let Some(next) = &record.next {
        put_ballot(out, &next.ballot);
        put_version(out, &next.version);
        out.push(u8::from(next.joint));
    }
    put_ballot(out, &record.promised);
    out.extend_from_slice(&record.list.to_be_bytes());
    out.extend_from_slice(&record.floor_ms.to_be_bytes());
    out.extend_from_slice(&record.linked.to_be_bytes());
    out.extend_from_slice(&record.behind.to_be_bytes());
    out.push(u8::from(record.stuck));
}

fn put_step(out: &mut Vec<u8>, step: &DeltaStep) {
    match step {
        DeltaStep::Accept { ballot } => {
            out.push(0);
            put_ballot(out, ballot);
        }
        DeltaStep::EnterJoint => out.push(1),
        DeltaStep::Commit => out.push(2),
    }
}

fn put_order(out: &mut Vec<u8>, order: &ConfigRequest) {
    match order {
        ConfigRequest::Query { stamp } => {
            out.push(0);
            put_stamp(out, stamp);
        }
        ConfigRequest::Fetch {
            version,
            have: None,
        } => {
            out.push(1);
            put_version(out, version);
        }
        ConfigRequest::Fetch {
            version,
            have: Some(have),
        } => {
            out.push(7);
            put_version(out, version);
            put_version(out, have);
        }
        ConfigRequest::ByDelta { step, delta, list } => {
            out.push(8);
            put_step(out, step);
            put_delta(out, delta);
            out.extend_from_slice(&list.to_be_bytes());
        }
        ConfigRequest::Prepare {
            follows,
            ballot,
            list,
        } => {
            out.push(2);
            put_version(out, follows);
            put_ballot(out, ballot);
            out.extend_from_slice(&list.to_be_bytes());
        }
        ConfigRequest::Accept {
            follows,
            ballot,
            version,
            text,
            list,
        } => {
            out.push(3);
            put_version(out, follows);
            put_ballot(out, ballot);
            put_version(out, version);
            put_text(out, text, MAX_PLAN);
            out.extend_from_slice(&list.to_be_bytes());
        }
        ConfigRequest::EnterJoint {
            follows,
            version,
            text,
            list,
        } => {
            out.push(4);
            put_version(out, follows);
            put_version(out, version);
            put_text(out, text, MAX_PLAN);
            out.extend_from_slice(&list.to_be_bytes());
        }
        ConfigRequest::Commit {
            version,
            text,
            list,
        } => {
            out.push(5);
            put_version(out, version);
            put_text(out, text, MAX_PLAN);
            out.extend_from_slice(&list.to_be_bytes());
        }
        ConfigRequest::RaiseFloor { stamp } => {
            out.push(6);
            put_stamp(out, stamp);
        }
    }
}

/// The version of the protocol that a message needs.
fn needs(message: &Message) -> u8 {
    match message {
        Message::Hello { acts: Some(_), .. }
        | Message::Offer { stamp: Some(_), .. }
        | Message::Welcome {
            record: Some(_), ..
        }
        | Message::Refused {
            reason: Reason::Superseded,
            ..
        }
        | Message::ConfigRequest(
            ConfigRequest::Query { .. }
            | ConfigRequest::Fetch { have: None, .. }
            | ConfigRequest::Prepare { .. }
            | ConfigRequest::Accept { .. }
            | ConfigRequest::EnterJoint { .. }
            | ConfigRequest::Commit { .. }
            | ConfigRequest::RaiseFloor { .. },
        )
        | Message::AcceptorReport(_)
        | Message::ConfigText { .. } => 2,
        Message::ConfigRequest(
            ConfigRequest::Fetch { have: Some(_), .. } | ConfigRequest::ByDelta { .. },
        )
        | Message::ConfigDelta(_) => 3,
        _ => 1,
    }
}

/// What a frame's header says of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Head {
    pub version: u8,
    pub kind: u8,
    pub flags: u8,
}

/// The record of this message is a learner's.
const LEARNS: u8 = 1;
/// The record of this message is that of a node that reads deltas.
const DELTAS: u8 = 2;

fn flags(message: &Message) -> u8 {
    match message {
        Message::Welcome {
            record: Some(record),
            ..
        }
        | Message::AcceptorReport(record) => {
            let learns = if record.learns { LEARNS } else { 0 };
            let deltas = if record.deltas { DELTAS } else { 0 };
            learns | deltas
        }
        _ => 0,
    }
}

/// Appends the body of a message; returns what its header says.
pub(crate) fn write(message: &Message, out: &mut Vec<u8>) -> Head {
    Head {
        version: needs(message),
        kind: write_body(message, out),
        flags: flags(message),
    }
}

fn write_body(message: &Message, out: &mut Vec<u8>) -> u8 {
    match message {
        Message::Hello {
            placer,
            life,
            link,
            acts,
        } => {
            put_text(out, placer, MAX_NAME);
            out.extend_from_slice(&life.to_be_bytes());
            out.extend_from_slice(&link.to_be_bytes());
            if let Some((stamp, build)) = acts {
                put_stamp(out, stamp);
                put_text(out, build, MAX_NAME);
            }
            kind::HELLO
        }
        Message::Offer {
            attempt,
            task,
            within_ms,
            stamp,
        } => {
            put_attempt(out, *attempt);
            out.extend_from_slice(&within_ms.to_be_bytes());
            put_task(out, task);
            stamp.iter().for_each(|stamp| put_stamp(out, stamp));
            kind::OFFER
        }
        Message::Stop { attempt } => {
            put_attempt(out, *attempt);
            kind::STOP
        }
        Message::Probe { nonce } => {
            out.extend_from_slice(&nonce.to_be_bytes());
            kind::PROBE
        }
        Message::Suspend { attempt } => {
            put_attempt(out, *attempt);
            kind::SUSPEND
        }
        Message::Resume { attempt } => {
            put_attempt(out, *attempt);
            kind::RESUME
        }
        Message::Ack { attempt } => {
            put_attempt(out, *attempt);
            kind::ACK
        }
        Message::Welcome {
            node,
            life,
            up_ms,
            can_suspend,
            record,
        } => {
            put_text(out, node, MAX_NAME);
            out.extend_from_slice(&life.to_be_bytes());
            out.extend_from_slice(&up_ms.to_be_bytes());
            out.push(u8::from(*can_suspend));
            record.iter().for_each(|record| put_record(out, record));
            kind::WELCOME
        }
        Message::Holds { held, last } => {
            out.push(u8::from(*last));
            out.extend_from_slice(&(held.len() as u16).to_be_bytes());
            for Held {
                attempt,
                task,
                state,
            } in held
            {
                put_attempt(out, *attempt);
                put_task(out, task);
                match state {
                    HeldState::Waiting => out.push(0),
                    HeldState::Accepted => out.push(1),
                    HeldState::Running => out.push(2),
                    HeldState::Suspended => out.push(3),
                    HeldState::Ended { end, ran } => {
                        out.extend_from_slice(&[4, u8::from(*ran)]);
                        put_end(out, end);
                    }
                }
            }
            kind::HOLDS
        }
        Message::Accepted { attempt, report } => {
            put_attempt(out, *attempt);
            put_report(out, report);
            kind::ACCEPTED
        }
        Message::Refused {
            attempt,
            reason,
            text,
            report,
        } => {
            put_attempt(out, *attempt);
            out.push(Reason::ALL.iter().position(|r| r == reason).unwrap_or(0) as u8);
            put_text(out, text, MAX_TEXT);
            put_report(out, report);
            kind::REFUSED
        }
        Message::Note {
            attempt,
            topic,
            amount,
        } => {
            put_attempt(out, *attempt);
            out.push(Topic::ALL.iter().position(|t| t == topic).unwrap_or(0) as u8 + 1);
            out.extend_from_slice(&amount.to_be_bytes());
            kind::NOTE
        }
        Message::Ended {
            attempt,
            end,
            ran,
            report,
        } => {
            put_attempt(out, *attempt);
            put_end(out, end);
            out.push(u8::from(*ran));
            put_report(out, report);
            kind::ENDED
        }
        Message::Report { nonce, report } => {
            out.extend_from_slice(&nonce.to_be_bytes());
            put_report(out, report);
            kind::REPORT
        }
        Message::ConfigRequest(order) => {
            put_order(out, order);
            kind::PLAN
        }
        Message::AcceptorReport(record) => {
            put_record(out, record);
            kind::RECORD
        }
        Message::ConfigText { version, text } => {
            put_version(out, version);
            put_text(out, text, MAX_PLAN);
            kind::PLAN_TEXT
        }
        Message::ConfigDelta(delta) => {
            put_delta(out, delta);
            kind::PLAN_DELTA
        }
    }
}

// ---- Reading ----

pub(crate) type Input<'a> = &'a [u8];

pub(crate) fn label(text: &'static str) -> StrContext {
    StrContext::Label(text)
}

pub(crate) fn text(most: usize) -> impl FnMut(&mut Input<'_>) -> ModalResult<String> {
    move |input| {
        let bytes = length_take(be_u16).verify(|bytes: &[u8]| bytes.len() <= most);
        bytes
            .try_map(|bytes| std::str::from_utf8(bytes).map(str::to_owned))
            .parse_next(input)
    }
}

fn name(input: &mut Input<'_>) -> ModalResult<String> {
    text(MAX_NAME).parse_next(input)
}

fn flag(input: &mut Input<'_>) -> ModalResult<bool> {
    u8.verify_map(|byte| [false, true].get(usize::from(byte)).copied())
        .parse_next(input)
}

fn amount(input: &mut Input<'_>) -> ModalResult<f64> {
    be_f64
        .verify(|value: &f64| value.is_finite())
        .parse_next(input)
}

fn report(input: &mut Input<'_>) -> ModalResult<Vec<f64>> {
    let count = u8
        .verify(|count| usize::from(*count) <= MAX_REPORT)
        .parse_next(input)?;
    (0..count)
        .map(|_| {
            amount
                .context(label("a value of the report"))
                .parse_next(input)
        })
        .collect()
}

fn attempt(input: &mut Input<'_>) -> ModalResult<AttemptId> {
    let ids = (be_u64, be_u64, be_u16).context(label("the attempt"));
    ids.map(|(life, request, number)| AttemptId {
        life,
        request,
        number,
    })
    .parse_next(input)
}

fn task(input: &mut Input<'_>) -> ModalResult<Task> {
    let (session, job) =
        (name.context(label("session")), name.context(label("job"))).parse_next(input)?;
    let (class, tenant, service) = (
        name.context(label("class")),
        name.context(label("tenant")),
        name.context(label("service")),
    )
        .parse_next(input)?;
    let repeat = u8.verify_map(|code| match code {
        0 => Some(Repeat::Safe),
        1 => Some(Repeat::Keyed),
        2 => Some(Repeat::Unsafe),
        _ => None,
    });
    let repeat = repeat.context(label("repeat")).parse_next(input)?;
    let group = u8.verify_map(|code| match code {
        0 => Some(Group::All),
        1 => Some(Group::Hall),
        2 => Some(Group::Rack),
        _ => None,
    });
    let group = group.context(label("group")).parse_next(input)?;
    let (window_ms, key) = (be_u32, be_u64)
        .context(label("window and key"))
        .parse_next(input)?;
    let ask = amount.verify(|value: &f64| *value >= 0.0);
    let (cores, memory) = (ask, amount.verify(|value: &f64| *value >= 0.0))
        .context(label("cores and memory"))
        .parse_next(input)?;
    let life_ms = be_u64.context(label("life")).parse_next(input)?;
    let payload = length_take(be_u16).verify(|bytes: &[u8]| bytes.len() <= MAX_PAYLOAD);
    let payload = payload
        .context(label("payload"))
        .parse_next(input)?
        .to_vec();
    Ok(Task {
        session,
        job,
        class,
        tenant,
        service,
        repeat,
        group,
        window_ms,
        key,
        cores,
        memory,
        life_ms,
        payload,
    })
}

fn end(input: &mut Input<'_>) -> ModalResult<End> {
    let (code, detail) = (u8, u8).parse_next(input)?;
    let text = text(MAX_TEXT).parse_next(input)?;
    Ok(match code {
        0 => End::Exited(detail),
        1 => End::Signaled(detail),
        2 => End::Evicted,
        3 => End::PushedOut,
        4 => End::SentAway,
        5 => End::Stopped,
        6 => End::Error(text),
        7 => End::Unknown,
        _ => return Err(ErrMode::Backtrack(ContextError::new())),
    })
}

fn held(input: &mut Input<'_>) -> ModalResult<Held> {
    let (attempt, task) = (attempt, task).parse_next(input)?;
    let state = match u8.context(label("state")).parse_next(input)? {
        0 => HeldState::Waiting,
        1 => HeldState::Accepted,
        2 => HeldState::Running,
        3 => HeldState::Suspended,
        4 => {
            let (ran, end) = (flag, end).context(label("end")).parse_next(input)?;
            HeldState::Ended { end, ran }
        }
        _ => return Err(ErrMode::Backtrack(ContextError::new())),
    };
    Ok(Held {
        attempt,
        task,
        state,
    })
}

pub(crate) fn plan_version(input: &mut Input<'_>) -> ModalResult<ConfigVersion> {
    let digest = winnow::token::take(16_usize)
        .map(|bytes: &[u8]| ConfigDigest(bytes.try_into().unwrap_or_default()));
    let version = (be_u64, digest).map(|(number, digest)| ConfigVersion { number, digest });
    version
        .context(label("the plan's version"))
        .parse_next(input)
}

fn ballot(input: &mut Input<'_>) -> ModalResult<Ballot> {
    (be_u64, be_u64)
        .map(|(round, by)| Ballot { round, by })
        .context(label("the ballot"))
        .parse_next(input)
}

fn stamp(input: &mut Input<'_>) -> ModalResult<VersionStamp> {
    let (version, joint, list, build) = (plan_version, flag, be_u64, be_u32).parse_next(input)?;
    Ok(VersionStamp {
        version,
        joint,
        list,
        build,
    })
}

fn record(input: &mut Input<'_>) -> ModalResult<AcceptorReport> {
    let force = plan_version(input)?;
    let next = if flag(input)? {
        let (ballot, version, joint) = (ballot, plan_version, flag).parse_next(input)?;
        Some(AcceptedVersion {
            ballot,
            version,
            joint,
        })
    } else {
        None
    };
    let (promised, list, floor_ms, linked, behind, stuck) =
        (ballot, be_u64, be_u64, be_u16, be_u16, flag)
            .context(label("the record"))
            .parse_next(input)?;
    // Whether it is a learner's, and whether the node reads deltas, the header says.
    Ok(AcceptorReport {
        force,
        next,
        promised,
        list,
        floor_ms,
        linked,
        behind,
        stuck,
        learns: false,
        deltas: false,
    })
}

fn plan_text(input: &mut Input<'_>) -> ModalResult<String> {
    text(MAX_PLAN)
        .context(label("the plan's text"))
        .parse_next(input)
}

fn step(input: &mut Input<'_>) -> ModalResult<DeltaStep> {
    Ok(match u8.context(label("the step")).parse_next(input)? {
        0 => DeltaStep::Accept {
            ballot: ballot(input)?,
        },
        1 => DeltaStep::EnterJoint,
        2 => DeltaStep::Commit,
        _ => return Err(ErrMode::Backtrack(ContextError::new())),
    })
}

fn order(version: u8, input: &mut Input<'_>) -> ModalResult<ConfigRequest> {
    Ok(match u8.context(label("the order")).parse_next(input)? {
        0 => ConfigRequest::Query {
            stamp: stamp(input)?,
        },
        1 => ConfigRequest::Fetch {
            version: plan_version(input)?,
            have: None,
        },
        2 => {
            let (follows, ballot, list) = (plan_version, ballot, be_u64).parse_next(input)?;
            ConfigRequest::Prepare {
                follows,
                ballot,
                list,
            }
        }
        3 => {
            let (follows, ballot, version, text, list) =
                (plan_version, ballot, plan_version, plan_text, be_u64).parse_next(input)?;
            ConfigRequest::Accept {
                follows,
                ballot,
                version,
                text,
                list,
            }
        }
        4 => {
            let (follows, version, text, list) =
                (plan_version, plan_version, plan_text, be_u64).parse_next(input)?;
            ConfigRequest::EnterJoint {
                follows,
                version,
                text,
                list,
            }
        }
        5 => {
            let (version, text, list) = (plan_version, plan_text, be_u64).parse_next(input)?;
            ConfigRequest::Commit {
                version,
                text,
                list,
            }
        }
        6 => ConfigRequest::RaiseFloor {
            stamp: stamp(input)?,
        },
        7 if version >= 3 => {
            let (version, have) = (plan_version, plan_version).parse_next(input)?;
            ConfigRequest::Fetch {
                version,
                have: Some(have),
            }
        }
        8 if version >= 3 => {
            let (step, delta, list) = (step, delta, be_u64).parse_next(input)?;
            ConfigRequest::ByDelta { step, delta, list }
        }
        _ => return Err(ErrMode::Backtrack(ContextError::new())),
    })
}

/// What only version 2 tells.
fn from_two<T>(
    version: u8,
    read: impl Fn(&mut Input<'_>) -> ModalResult<T>,
    input: &mut Input<'_>,
) -> ModalResult<Option<T>> {
    if version < 2 {
        Ok(None)
    } else {
        read(input).map(Some)
    }
}

fn body(version: u8, kind: u8, input: &mut Input<'_>) -> ModalResult<Option<Message>> {
    Ok(Some(match kind {
        kind::HELLO => {
            let (placer, life, link) = (name, be_u64, be_u64).parse_next(input)?;
            let acts = from_two(version, |input| (stamp, name).parse_next(input), input)?;
            Message::Hello {
                placer,
                life,
                link,
                acts,
            }
        }
        kind::OFFER => {
            let (attempt, within_ms, task) = (attempt, be_u32, task).parse_next(input)?;
            let stamp = from_two(version, stamp, input)?;
            Message::Offer {
                attempt,
                task: Box::new(task),
                within_ms,
                stamp,
            }
        }
        kind::STOP => Message::Stop {
            attempt: attempt(input)?,
        },
        kind::PROBE => Message::Probe {
            nonce: be_u64.parse_next(input)?,
        },
        kind::SUSPEND => Message::Suspend {
            attempt: attempt(input)?,
        },
        kind::RESUME => Message::Resume {
            attempt: attempt(input)?,
        },
        kind::ACK => Message::Ack {
            attempt: attempt(input)?,
        },
        kind::WELCOME => {
            let (node, life, up_ms, can_suspend) =
                (name, be_u64, be_u64, flag).parse_next(input)?;
            let record = from_two(version, record, input)?;
            Message::Welcome {
                node,
                life,
                up_ms,
                can_suspend,
                record,
            }
        }
        kind::HOLDS => {
            let (last, count) = (flag, be_u16).parse_next(input)?;
            // Nothing is set aside by the count: the body's length bounds what can follow.
            let held: ModalResult<Vec<Held>> = (0..count).map(|_| held(input)).collect();
            Message::Holds { held: held?, last }
        }
        kind::ACCEPTED => {
            let (attempt, report) = (attempt, report).parse_next(input)?;
            Message::Accepted { attempt, report }
        }
        kind::REFUSED => {
            let reason = u8.verify_map(|code| Reason::ALL.get(usize::from(code)).copied());
            let (attempt, reason, text, report) = (
                attempt,
                reason.context(label("reason")),
                text(MAX_TEXT),
                report,
            )
                .parse_next(input)?;
            Message::Refused {
                attempt,
                reason,
                text,
                report,
            }
        }
        kind::NOTE => {
            let topic =
                u8.verify_map(|code| Topic::ALL.get(usize::from(code).checked_sub(1)?).copied());
            let (attempt, topic, amount) =
                (attempt, topic.context(label("topic")), amount).parse_next(input)?;
            Message::Note {
                attempt,
                topic,
                amount,
            }
        }
        kind::ENDED => {
            let (attempt, end, ran, report) =
                (attempt, end.context(label("end")), flag, report).parse_next(input)?;
            Message::Ended {
                attempt,
                end,
                ran,
                report,
            }
        }
        kind::REPORT => {
            let (nonce, report) = (be_u64, report).parse_next(input)?;
            Message::Report { nonce, report }
        }
        kind::PLAN if version >= 2 => Message::ConfigRequest(order(version, input)?),
        kind::RECORD if version >= 2 => Message::AcceptorReport(record(input)?),
        kind::PLAN_TEXT if version >= 2 => {
            let (version, text) = (plan_version, plan_text).parse_next(input)?;
            Message::ConfigText { version, text }
        }
        kind::PLAN_DELTA if version >= 3 => Message::ConfigDelta(delta(input)?),
        _ => return Ok(None),
    }))
}

/// Gives the record of a message what its header says.
fn mark(message: &mut Message, flags: u8) {
    if let Message::Welcome {
        record: Some(record),
        ..
    }
    | Message::AcceptorReport(record) = message
    {
        record.learns = flags & LEARNS != 0;
        record.deltas = flags & DELTAS != 0;
    }
}

/// Reads the body of a frame. Flags that are not known here are passed by.
pub(crate) fn read(head: Head, bytes: &[u8]) -> Result<Message, FrameError> {
    let Head {
        version,
        kind,
        flags,
    } = head;
    let mut input = bytes;
    let fault = |field: String| FrameError::Field { kind, field };
    match body(version, kind, &mut input) {
        Ok(Some(mut message)) if input.is_empty() => {
            mark(&mut message, flags);
            Ok(message)
        }
        Ok(Some(_)) => Err(fault(format!("{} bytes are left over", input.len()))),
        Ok(None) => Err(FrameError::Kind(kind)),
        Err(error) => {
            let at = bytes.len() - input.len();
            let inner = error.into_inner().unwrap_or_default();
            let named = inner.context().find_map(|context| match context {
                StrContext::Label(text) => Some(*text),
                _ => None,
            });
            Err(fault(format!(
                "{} can't be read at byte {at}",
                named.unwrap_or("a field")
            )))
        }
    }
}

/// Reads one whole frame, as a trace holds it.
///
/// # Errors
/// See [`FrameError`]; bytes that are cut short count as a field that can't be read.
pub fn decode(frame: &[u8]) -> Result<Message, FrameError> {
    let mut reader = Reader::default();
    reader.push(frame);
    let cut = FrameError::Field {
        kind: frame.get(5).copied().unwrap_or(0),
        field: "cut short".into(),
    };
    reader
        .next_message()?
        .map(|(message, _)| message)
        .ok_or(cut)
}
