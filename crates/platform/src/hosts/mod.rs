//! Hosts: failure detection, their links, their messages and the endpoint list.

mod endpoints;
mod failure;
mod link_selection;
mod links;
mod messages;
mod sweep;
mod tasks;
