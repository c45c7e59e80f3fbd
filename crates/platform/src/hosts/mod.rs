//! Hosts: the endpoint list, links, messages, running tasks and failure detection.

mod endpoints;
mod failure;
mod link_selection;
mod links;
mod messages;
mod stops;
mod successors;
mod sweep;
mod tasks;
