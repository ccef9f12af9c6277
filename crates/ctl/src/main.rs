//! `briarctl`, the command-line client for operators.

use std::process::ExitCode;

use briarswitch_ctl::cli::{
    DocumentOptions, EntityAction, LogQueryOptions, RulesAction, RulesTryOptions,
};
use briarswitch_ctl::edit::{
    find_entity, not_found, parse, read_file, read_value, send_edit, settle, CommandOutcome,
    EditDraft,
};
use briarswitch_ctl::explain::{explain, read_logs, timeline, LogLine};
use briarswitch_ctl::{show, CtlOptions, ExitStatus, NodeClient, Verb};
use briarswitch_wire::config::{HeaderDoc, KindDoc, ValueDoc};
use briarswitch_wire::operator::{
    ConfigReply, CostLine, StatusReply, TryReply, TryRequest, UsageRow,
};
use gumdrop::Options;
use serde::Serialize;
use serde_json::Value;

/// Id of the rule list; there is only one.
const RULE_LIST: &str = "main";

fn main() -> ExitCode {
    let options = CtlOptions::parse_args_default_or_exit();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let outcome = match runtime {
        Ok(runtime) => runtime.block_on(run(options)),
        Err(error) => CommandOutcome::failure(ExitStatus::NodeError, error.to_string()),
    };
    if outcome.status == ExitStatus::Success {
        println!("{}", outcome.text);
    } else {
        eprintln!("{}", outcome.text);
    }
    ExitCode::from(outcome.status.code())
}

async fn run(options: CtlOptions) -> CommandOutcome {
    let token = options
        .token
        .or_else(|| std::env::var("BRIARCTL_TOKEN").ok());
    let client = NodeClient::new(&options.node, token);
    let is_json = options.json;
    let Some(verb) = options.verb else {
        let usage = CtlOptions::usage();
        let commands = CtlOptions::command_list().unwrap_or_default();
        let text = format!("briarctl [OPTIONS] COMMAND\n\n{usage}\n\n{commands}");
        return CommandOutcome::failure(ExitStatus::Usage, text);
    };
    let result = match verb {
        Verb::Organisation(options) => {
            entity(&client, KindDoc::Organisation, options.action, is_json).await
        }
        Verb::Deployment(options) => {
            entity(&client, KindDoc::Deployment, options.action, is_json).await
        }
        Verb::Rules(options) => rules(&client, options.action, is_json).await,
        Verb::Status(_) => read::<StatusReply>(&client, "/v1/status", is_json, show::status).await,
        Verb::Plan(_) => read::<Value>(&client, "/v1/plan", is_json, show::plan).await,
        Verb::Usage(_) => {
            read::<Vec<UsageRow>>(&client, "/v1/usage", is_json, |rows| show::usage(rows)).await
        }
        Verb::Costs(_) => {
            read::<Vec<CostLine>>(&client, "/costs", is_json, |lines| show::costs(lines)).await
        }
        Verb::Release(options) => release(&client, &options.name).await,
        Verb::Dump(_) => read::<Value>(&client, "/v1/dump", true, Value::to_string).await,
        Verb::Settle(options) => Ok(settle(&client, &options.name, is_json).await),
        Verb::Explain(options) => Ok(query_logs(&options, explain)),
        Verb::Timeline(options) => Ok(query_logs(&options, timeline)),
        Verb::LogLevel(options) => log_level(&client, &options.name).await,
    };
    result.unwrap_or_else(|failure| failure)
}

/// Runs a query on log files; no node is contacted.
fn query_logs(
    options: &LogQueryOptions,
    query: impl Fn(&[LogLine], &str) -> Option<String>,
) -> CommandOutcome {
    match read_logs(&options.files) {
        Err(error) => CommandOutcome::failure(ExitStatus::Usage, error),
        Ok(lines) => match query(&lines, &options.name) {
            Some(text) => CommandOutcome::success(text),
            None => {
                let text = format!("no log line mentions {}", options.name);
                CommandOutcome::failure(ExitStatus::NotFound, text)
            }
        },
    }
}

/// Outcome of a command; the error case allows an early return with `?`.
type CommandResult = Result<CommandOutcome, CommandOutcome>;

async fn entity(
    client: &NodeClient,
    kind: KindDoc,
    action: Option<EntityAction>,
    is_json: bool,
) -> CommandResult {
    let Some(action) = action else {
        let text = "expected create, show, edit, delete or list";
        return Err(CommandOutcome::failure(ExitStatus::Usage, text));
    };
    match action {
        EntityAction::List(_) => {
            let config: ConfigReply = client.get("/v1/config").await?;
            let of_kind: Vec<_> = config
                .entries
                .into_iter()
                .filter(|entry| entry.kind == kind)
                .collect();
            Ok(render(&of_kind, is_json, || show::entities(kind, &of_kind)))
        }
        EntityAction::Show(options) => {
            let Some(entry) = find_entity(client, kind, &options.name).await? else {
                return Err(not_found(kind, &options.name));
            };
            Ok(render(&entry, is_json, || show::entry_text(&entry)))
        }
        EntityAction::Delete(options) => {
            let draft = EditDraft {
                kind,
                id: options.name,
                value: ValueDoc::Deleted,
                base: options.base,
                is_new: false,
            };
            Ok(send_edit(client, draft, is_json).await)
        }
        EntityAction::Create(options) => write_document(client, kind, options, true, is_json).await,
        EntityAction::Edit(options) => write_document(client, kind, options, false, is_json).await,
    }
}

async fn write_document(
    client: &NodeClient,
    kind: KindDoc,
    options: DocumentOptions,
    is_new: bool,
    is_json: bool,
) -> CommandResult {
    let value = read_value(kind, &options)?;
    let draft = EditDraft {
        kind,
        id: options.name,
        value,
        base: options.base,
        is_new,
    };
    Ok(send_edit(client, draft, is_json).await)
}

async fn rules(client: &NodeClient, action: Option<RulesAction>, is_json: bool) -> CommandResult {
    let Some(action) = action else {
        let text = "expected show, set or try";
        return Err(CommandOutcome::failure(ExitStatus::Usage, text));
    };
    match action {
        RulesAction::Show(_) => {
            let Some(entry) = find_entity(client, KindDoc::Rules, RULE_LIST).await? else {
                let text = "there are no rules; create them with: briarctl rules set --file FILE";
                return Err(CommandOutcome::failure(ExitStatus::NotFound, text));
            };
            Ok(render(&entry, is_json, || show::entry_text(&entry)))
        }
        RulesAction::Set(options) => {
            let text = read_file(&options.file)?;
            let value = ValueDoc::Rules(parse(&options.file, &text)?);
            let existing = find_entity(client, KindDoc::Rules, RULE_LIST).await?;
            let draft = EditDraft {
                kind: KindDoc::Rules,
                id: RULE_LIST.to_owned(),
                value,
                base: options.base,
                is_new: existing.is_none(),
            };
            Ok(send_edit(client, draft, is_json).await)
        }
        RulesAction::Try(options) => {
            let request = try_request(options)?;
            let reply: TryReply = client.post("/v1/rules/try", &request).await?;
            Ok(render(&reply, is_json, || show::rule_match(&reply)))
        }
    }
}

fn try_request(options: RulesTryOptions) -> Result<TryRequest, CommandOutcome> {
    let mut headers = Vec::new();
    for header in &options.header {
        let Some((name, value)) = header.split_once('=') else {
            let text = format!("--header {header}: expected NAME=VALUE");
            return Err(CommandOutcome::failure(ExitStatus::Usage, text));
        };
        headers.push(HeaderDoc {
            name: name.to_owned(),
            value: value.to_owned(),
        });
    }
    Ok(TryRequest {
        organisation: options.organisation,
        asked: options.asked,
        headers,
        body_bytes: options.bytes,
        zone: options.zone,
        minute_of_day: options.minute,
        draw: options.draw,
    })
}

async fn read<T: serde::de::DeserializeOwned + Serialize>(
    client: &NodeClient,
    path: &str,
    is_json: bool,
    show: impl FnOnce(&T) -> String,
) -> CommandResult {
    let reply: T = client.get(path).await?;
    Ok(render(&reply, is_json, || show(&reply)))
}

async fn release(client: &NodeClient, fingerprint: &str) -> CommandResult {
    let released: String = client.post(&format!("/release/{fingerprint}"), &()).await?;
    Ok(CommandOutcome::success(format!("released {released}")))
}

async fn log_level(client: &NodeClient, level: &str) -> CommandResult {
    let set: String = client.post("/v1/log-level", &level).await?;
    Ok(CommandOutcome::success(format!("log level {set}")))
}

fn render<T: Serialize>(value: &T, is_json: bool, text: impl FnOnce() -> String) -> CommandOutcome {
    if is_json {
        return CommandOutcome::success(serde_json::to_string_pretty(value).unwrap_or_default());
    }
    CommandOutcome::success(text())
}
