//! The client's command line.

use gumdrop::Options;

/// Options of `briarctl`.
#[derive(Debug, Options)]
pub struct CtlOptions {
    /// Prints the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Operator listener of any node.
    #[options(
        help = "operator listener of any node",
        meta = "IP:PORT",
        default = "127.0.0.1:7200"
    )]
    pub node: String,
    /// Operator credential; `BRIARCTL_TOKEN` when absent.
    #[options(help = "operator credential (or set BRIARCTL_TOKEN)", meta = "TOKEN")]
    pub token: Option<String>,
    /// Prints JSON for programs.
    #[options(help = "print JSON for programs")]
    pub json: bool,
    /// What to do.
    #[options(command)]
    pub verb: Option<Verb>,
}

/// Commands.
#[derive(Debug, Options)]
pub enum Verb {
    /// Organisations.
    #[options(help = "create, show, edit, delete or list organisations")]
    Organisation(EntityOptions),
    /// Deployments.
    #[options(help = "create, show, edit, delete or list deployments")]
    Deployment(EntityOptions),
    /// The rule list.
    #[options(help = "show or set the rules, or try them on a request")]
    Rules(RulesOptions),
    /// Status.
    #[options(help = "show zones, groups, versions in force and the two measures")]
    Status(PlainOptions),
    /// Plan.
    #[options(help = "show what the zone's controller would do next, and why")]
    Plan(PlainOptions),
    /// Usage.
    #[options(help = "show metered use by organisation")]
    Usage(PlainOptions),
    /// Costs of what a fleet's node knows.
    #[options(
        help = "show what knowing the other nodes costs a fleet's node; --node is its metrics listener"
    )]
    Costs(PlainOptions),
    /// Release of a quarantined request.
    #[options(
        help = "let a quarantined request run again; --node is a fleet's node's metrics listener"
    )]
    Release(NameOptions),
    /// State dump.
    #[options(help = "dump the node's state as JSON")]
    Dump(PlainOptions),
    /// Settling of a lost answer.
    #[options(help = "settle an edit whose answer was unknown")]
    Settle(NameOptions),
    /// One request's story from the logs.
    #[options(help = "tell from the nodes' logs what became of a request, and why")]
    Explain(LogQueryOptions),
    /// One group's story from the logs.
    #[options(help = "tell from the nodes' logs what became of a group")]
    Timeline(LogQueryOptions),
    /// Log level.
    #[options(help = "change the node's log level")]
    LogLevel(NameOptions),
}

/// A command without arguments.
#[derive(Debug, Options)]
pub struct PlainOptions {
    /// Prints the usage.
    #[options(help = "print this help")]
    pub help: bool,
}

/// A command that takes one name.
#[derive(Debug, Options)]
pub struct NameOptions {
    /// Prints the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// The name.
    #[options(free, required)]
    pub name: String,
}

/// What to look for in the logs, and where.
#[derive(Debug, Options)]
pub struct LogQueryOptions {
    /// Whether to print help.
    #[options(help = "print this help")]
    pub help: bool,
    /// A request's id or a group's name.
    #[options(free, required)]
    pub name: String,
    /// Log files; standard input where none is named.
    #[options(free)]
    pub files: Vec<String>,
}

/// What is done with an organisation or deployment.
#[derive(Debug, Options)]
pub struct EntityOptions {
    /// Prints the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Action.
    #[options(command, required)]
    pub action: Option<EntityAction>,
}

/// Actions on organisations and deployments.
#[derive(Debug, Options)]
pub enum EntityAction {
    /// Creates one.
    #[options(help = "create one")]
    Create(DocumentOptions),
    /// Replaces one's text.
    #[options(help = "replace one's text")]
    Edit(DocumentOptions),
    /// Shows one.
    #[options(help = "show one")]
    Show(NameOptions),
    /// Deletes one.
    #[options(help = "delete one")]
    Delete(DeleteOptions),
    /// Lists all.
    #[options(help = "list all")]
    List(PlainOptions),
}

/// A command that takes a document.
#[derive(Debug, Options)]
pub struct DocumentOptions {
    /// Prints the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Name of the entity.
    #[options(free, required)]
    pub name: String,
    /// File that holds the document; `-` reads standard input.
    #[options(help = "JSON document; - reads standard input", meta = "FILE")]
    pub file: Option<String>,
    /// Key of an organisation, hashed before it is sent.
    #[options(
        help = "an organisation's key; it is hashed before it is sent",
        meta = "KEY"
    )]
    pub key: Option<String>,
    /// Weight of an organisation given by its key.
    #[options(help = "an organisation's weight, with --key", meta = "N")]
    pub weight: Option<u32>,
    /// Version the edit was made against.
    #[options(help = "version the edit was made against", meta = "VERSION")]
    pub base: Option<u64>,
}

/// A deletion.
#[derive(Debug, Options)]
pub struct DeleteOptions {
    /// Prints the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Name of the entity.
    #[options(free, required)]
    pub name: String,
    /// Version the edit was made against.
    #[options(help = "version the edit was made against", meta = "VERSION")]
    pub base: Option<u64>,
}

/// What is done with the rules.
#[derive(Debug, Options)]
pub struct RulesOptions {
    /// Prints the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Action.
    #[options(command, required)]
    pub action: Option<RulesAction>,
}

/// Actions on the rules.
#[derive(Debug, Options)]
pub enum RulesAction {
    /// Shows them.
    #[options(help = "show the rules in order")]
    Show(PlainOptions),
    /// Replaces them.
    #[options(help = "replace the whole list")]
    Set(RulesSetOptions),
    /// Tries them.
    #[options(help = "tell which rule a request would meet, and why")]
    Try(RulesTryOptions),
}

/// A new rule list.
#[derive(Debug, Options)]
pub struct RulesSetOptions {
    /// Prints the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// File that holds the list; `-` reads standard input.
    #[options(help = "JSON list; - reads standard input", meta = "FILE", required)]
    pub file: String,
    /// Version the edit was made against.
    #[options(help = "version the edit was made against", meta = "VERSION")]
    pub base: Option<u64>,
}

/// A request to try the rules on.
#[derive(Debug, Options)]
pub struct RulesTryOptions {
    /// Prints the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Organisation that would call.
    #[options(help = "organisation that would call", meta = "NAME")]
    pub organisation: String,
    /// Deployment asked for.
    #[options(help = "deployment asked for", meta = "NAME")]
    pub asked: String,
    /// Headers.
    #[options(help = "a header; may be repeated", meta = "NAME=VALUE")]
    pub header: Vec<String>,
    /// Bytes of the body.
    #[options(help = "bytes of the body", meta = "N")]
    pub bytes: u64,
    /// Zone.
    #[options(help = "zone of the node", meta = "ZONE")]
    pub zone: Option<String>,
    /// Minute of the day.
    #[options(help = "minute of the UTC day", meta = "N")]
    pub minute: Option<u16>,
    /// Draw for percentages.
    #[options(help = "draw from 0 to 99 for percentages", meta = "N")]
    pub draw: u8,
}
