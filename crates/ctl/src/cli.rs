//! Command-line options.

use gumdrop::Options;

/// Options of `briarctl`.
#[derive(Debug, Options)]
pub struct CtlOptions {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Address of the operator listener of any node.
    #[options(
        help = "address of the operator listener of any node",
        meta = "IP:PORT",
        default = "127.0.0.1:7200"
    )]
    pub node: String,
    /// Operator credential; defaults to `BRIARCTL_TOKEN`.
    #[options(help = "operator credential (or set BRIARCTL_TOKEN)", meta = "TOKEN")]
    pub token: Option<String>,
    /// Whether to print JSON.
    #[options(help = "print JSON output")]
    pub json: bool,
    /// Command to run.
    #[options(command)]
    pub verb: Option<Verb>,
}

/// Commands.
#[derive(Debug, Options)]
pub enum Verb {
    /// Commands for organisations.
    #[options(help = "create, show, edit, delete or list organisations")]
    Organisation(EntityOptions),
    /// Commands for deployments.
    #[options(help = "create, show, edit, delete or list deployments")]
    Deployment(EntityOptions),
    /// Commands for the rule list.
    #[options(help = "show or replace the rules, or evaluate them for a request")]
    Rules(RulesOptions),
    /// Shows the status of the system.
    #[options(
        help = "show zones, groups, configuration versions, group downtime and stranded accelerators"
    )]
    Status(PlainOptions),
    /// Shows the plan of the zone's controller.
    #[options(help = "show the next steps of the zone's controller and their reasons")]
    Plan(PlainOptions),
    /// Shows metered usage.
    #[options(help = "show metered usage by organisation")]
    Usage(PlainOptions),
    /// Shows the resources a fleet node spends on coordination.
    #[options(
        help = "show what coordination with other nodes costs a fleet node; --node is its metrics listener"
    )]
    Costs(PlainOptions),
    /// Releases a request from quarantine.
    #[options(
        help = "release a request from quarantine; --node is the metrics listener of a fleet node"
    )]
    Release(NameOptions),
    /// Dumps the node's state.
    #[options(help = "dump the node's state as JSON")]
    Dump(PlainOptions),
    /// Settles an edit whose response was lost.
    #[options(help = "find out whether an edit with unknown result is in force")]
    Settle(NameOptions),
    /// Shows the log lines of one request.
    #[options(
        help = "show the log lines of a request from all nodes, and the cause of its outcome"
    )]
    Explain(LogQueryOptions),
    /// Shows the log lines of one group.
    #[options(help = "show the log lines of a group from all nodes")]
    Timeline(LogQueryOptions),
    /// Changes the log level.
    #[options(help = "change the node's log level")]
    LogLevel(NameOptions),
}

/// Options of a command without arguments.
#[derive(Debug, Options)]
pub struct PlainOptions {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Options of a command that takes one name.
#[derive(Debug, Options)]
pub struct NameOptions {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// The name.
    #[options(free, required)]
    pub name: String,
}

/// Options of a query on log files.
#[derive(Debug, Options)]
pub struct LogQueryOptions {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// A request's id or a group's name.
    #[options(free, required)]
    pub name: String,
    /// Log files; standard input if there are none.
    #[options(free)]
    pub files: Vec<String>,
}

/// Options of the commands for organisations and deployments.
#[derive(Debug, Options)]
pub struct EntityOptions {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Action to perform.
    #[options(command, required)]
    pub action: Option<EntityAction>,
}

/// Actions on organisations and deployments.
#[derive(Debug, Options)]
pub enum EntityAction {
    /// Creates an entity.
    #[options(help = "create one")]
    Create(DocumentOptions),
    /// Replaces the document of an entity.
    #[options(help = "replace the document of one")]
    Edit(DocumentOptions),
    /// Shows an entity.
    #[options(help = "show one")]
    Show(NameOptions),
    /// Deletes an entity.
    #[options(help = "delete one")]
    Delete(DeleteOptions),
    /// Lists all entities of the kind.
    #[options(help = "list all")]
    List(PlainOptions),
}

/// Options of a command that takes a document.
#[derive(Debug, Options)]
pub struct DocumentOptions {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Name of the entity.
    #[options(free, required)]
    pub name: String,
    /// File with the document; `-` reads standard input.
    #[options(help = "JSON document; - reads standard input", meta = "FILE")]
    pub file: Option<String>,
    /// API key of an organisation; only its hash is sent.
    #[options(
        help = "API key of an organisation; only its hash is sent",
        meta = "KEY"
    )]
    pub key: Option<String>,
    /// Weight of an organisation that is created with `key`.
    #[options(help = "weight of an organisation, with --key", meta = "N")]
    pub weight: Option<u32>,
    /// Version that the edit is based on.
    #[options(help = "version that the edit is based on", meta = "VERSION")]
    pub base: Option<u64>,
}

/// Options of a deletion.
#[derive(Debug, Options)]
pub struct DeleteOptions {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Name of the entity.
    #[options(free, required)]
    pub name: String,
    /// Version that the edit is based on.
    #[options(help = "version that the edit is based on", meta = "VERSION")]
    pub base: Option<u64>,
}

/// Options of the commands for rules.
#[derive(Debug, Options)]
pub struct RulesOptions {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Action to perform.
    #[options(command, required)]
    pub action: Option<RulesAction>,
}

/// Actions on the rules.
#[derive(Debug, Options)]
pub enum RulesAction {
    /// Shows the rules.
    #[options(help = "show the rules in order")]
    Show(PlainOptions),
    /// Replaces the rules.
    #[options(help = "replace the list of rules")]
    Set(RulesSetOptions),
    /// Evaluates the rules for a request.
    #[options(help = "show which rule a request would match, and why")]
    Try(RulesTryOptions),
}

/// Options of `rules set`.
#[derive(Debug, Options)]
pub struct RulesSetOptions {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// File with the list; `-` reads standard input.
    #[options(help = "JSON list; - reads standard input", meta = "FILE", required)]
    pub file: String,
    /// Version that the edit is based on.
    #[options(help = "version that the edit is based on", meta = "VERSION")]
    pub base: Option<u64>,
}

/// Options of `rules try`: the properties of a hypothetical request.
#[derive(Debug, Options)]
pub struct RulesTryOptions {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Organisation of the caller.
    #[options(help = "organisation of the caller", meta = "NAME")]
    pub organisation: String,
    /// Deployment that the request names.
    #[options(help = "deployment that the request names", meta = "NAME")]
    pub asked: String,
    /// Headers of the request.
    #[options(help = "a header; may be repeated", meta = "NAME=VALUE")]
    pub header: Vec<String>,
    /// Size of the body in bytes.
    #[options(help = "size of the body in bytes", meta = "N")]
    pub bytes: u64,
    /// Zone of the node.
    #[options(help = "zone of the node", meta = "ZONE")]
    pub zone: Option<String>,
    /// Minute of the UTC day.
    #[options(help = "minute of the UTC day", meta = "N")]
    pub minute: Option<u16>,
    /// Number from 0 to 99 that is compared with the percentages of rules.
    #[options(
        help = "number from 0 to 99 that is compared with the percentages of rules",
        meta = "N"
    )]
    pub draw: u8,
}
