//! Edits: building them from files and flags, sending them, and reporting their results.

use std::fs;
use std::io::Read as _;

use briarswitch_wire::config::{DeploymentDoc, EntryDoc, KindDoc, OrganisationDoc, ValueDoc};
use briarswitch_wire::operator::{ConfigReply, EditReply, EditRequest, SettleReply};
use sha2::{Digest, Sha256};

use crate::cli::DocumentOptions;
use crate::client::{NodeClient, NodeError};
use crate::exit::ExitStatus;

/// Output and exit status of a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CommandOutcome {
    /// Text to print.
    pub text: String,
    /// Exit status.
    pub status: ExitStatus,
}

impl CommandOutcome {
    /// Creates the outcome of a successful command.
    pub fn success(text: impl Into<String>) -> Self {
        Self {
            text: text.into(),
            status: ExitStatus::Success,
        }
    }

    /// Creates the outcome of a failed command.
    pub fn failure(status: ExitStatus, text: impl Into<String>) -> Self {
        Self {
            text: text.into(),
            status,
        }
    }
}

impl From<NodeError> for CommandOutcome {
    fn from(failure: NodeError) -> Self {
        Self::failure(ExitStatus::NodeError, failure.to_string())
    }
}

/// An edit whose base version may not be known yet.
pub struct EditDraft {
    /// Kind of the entity.
    pub kind: KindDoc,
    /// Name of the entity.
    pub id: String,
    /// Requested value.
    pub value: ValueDoc,
    /// Version that the edit is based on, if given by the operator.
    pub base: Option<u64>,
    /// Whether the edit creates the entity.
    pub is_new: bool,
}

/// Sends an edit and returns its outcome.
///
/// Without a base version, the version currently in force at the node is used, so a concurrent edit
/// still causes a conflict.
pub async fn send_edit(client: &NodeClient, draft: EditDraft, is_json: bool) -> CommandOutcome {
    let base = match draft.base {
        Some(base) => base,
        None if draft.is_new => 0,
        None => match find_entity(client, draft.kind, &draft.id).await {
            Ok(Some(entry)) => entry.version,
            Ok(None) => return not_found(draft.kind, &draft.id),
            Err(failure) => return failure.into(),
        },
    };
    let request = EditRequest {
        kind: draft.kind,
        id: draft.id,
        base,
        value: draft.value,
        write: format!("{:032x}", rand::random::<u128>()),
    };
    let write = request.write.clone();
    match client.post::<_, EditReply>("/v1/edit", &request).await {
        Ok(reply) => edit_outcome(reply, is_json),
        // The node may have written the edit before the connection broke.
        Err(NodeError::CallFailed { .. }) => edit_outcome(EditReply::Unknown { write }, is_json),
        Err(failure) => failure.into(),
    }
}

/// Queries the final result of an edit whose response was lost.
pub async fn settle(client: &NodeClient, write: &str, is_json: bool) -> CommandOutcome {
    let reply: SettleReply = match client.post("/v1/settle", &write).await {
        Ok(reply) => reply,
        Err(failure) => return failure.into(),
    };
    let (text, status) = match &reply {
        SettleReply::Accepted { version } => (
            format!("accepted as version {version}"),
            ExitStatus::Success,
        ),
        SettleReply::Void => (
            "not in force, and it never will be; send the edit again".to_owned(),
            ExitStatus::Refused,
        ),
        SettleReply::Unknown => (
            format!("the platform does not respond; try again: briarctl settle {write}"),
            ExitStatus::Unknown,
        ),
    };
    outcome_of(&reply, text, status, is_json)
}

/// Finds an entity in the configuration in force at the node.
///
/// # Errors
///
/// Returns [`NodeError`] if there is no valid response.
pub async fn find_entity(
    client: &NodeClient,
    kind: KindDoc,
    id: &str,
) -> Result<Option<EntryDoc>, NodeError> {
    let config: ConfigReply = client.get("/v1/config").await?;
    let found = config
        .entries
        .into_iter()
        .find(|entry| entry.kind == kind && entry.id == id);
    Ok(found)
}

/// Returns the outcome for an entity that does not exist.
pub fn not_found(kind: KindDoc, id: &str) -> CommandOutcome {
    let kind = kind.name();
    let text = format!("there is no {kind} named {id}; see: briarctl {kind} list");
    CommandOutcome::failure(ExitStatus::NotFound, text)
}

fn edit_outcome(reply: EditReply, is_json: bool) -> CommandOutcome {
    let (text, status) = match &reply {
        EditReply::Accepted { version } => (
            format!("accepted as version {version}"),
            ExitStatus::Success,
        ),
        EditReply::Refused { findings } => {
            let lines = findings
                .iter()
                .map(|finding| format!("\n  {}: {}", finding.place, finding.message));
            let text = format!("refused:{}", lines.collect::<String>());
            (text, ExitStatus::Refused)
        }
        EditReply::Conflict {
            version,
            current,
            wanted,
        } => {
            let current = current.as_ref().map(ToString::to_string);
            let text = format!(
                "conflict: edited by another operator, now at version {version}\n  in force: {}\n  \
                 wanted:   {wanted}\ncompare both and edit again with --base {version}",
                current.unwrap_or_else(|| "nothing".to_owned())
            );
            (text, ExitStatus::Conflict)
        }
        EditReply::Unknown { write } => (
            format!("unknown: no response from the platform; run: briarctl settle {write}"),
            ExitStatus::Unknown,
        ),
    };
    outcome_of(&reply, text, status, is_json)
}

fn outcome_of<T: serde::Serialize>(
    reply: &T,
    text: String,
    status: ExitStatus,
    is_json: bool,
) -> CommandOutcome {
    let text = if is_json {
        serde_json::to_string(reply).unwrap_or(text)
    } else {
        text
    };
    CommandOutcome { text, status }
}

/// Builds the value of an entity from the flags.
///
/// # Errors
///
/// Returns the outcome of the command if the flags or the file are invalid.
pub fn read_value(kind: KindDoc, options: &DocumentOptions) -> Result<ValueDoc, CommandOutcome> {
    if let (KindDoc::Organisation, Some(key)) = (kind, &options.key) {
        return Ok(ValueDoc::Organisation(OrganisationDoc {
            key_hash: key_hash(key),
            weight: options.weight.unwrap_or(1),
            requests_per_second: None,
        }));
    }
    let Some(file) = &options.file else {
        let text = "give the document with --file FILE, or --file - for standard input";
        return Err(CommandOutcome::failure(ExitStatus::Usage, text));
    };
    let text = read_file(file)?;
    match kind {
        KindDoc::Organisation => parse::<OrganisationDoc>(file, &text).map(ValueDoc::Organisation),
        KindDoc::Deployment => parse::<DeploymentDoc>(file, &text).map(ValueDoc::Deployment),
        KindDoc::Rules => parse(file, &text).map(ValueDoc::Rules),
    }
}

/// Reads a file, or standard input for `-`.
///
/// # Errors
///
/// Returns the outcome of the command if the file cannot be read.
pub fn read_file(file: &str) -> Result<String, CommandOutcome> {
    let read = if file == "-" {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        fs::read_to_string(file)
    };
    read.map_err(|error| {
        let text = format!("cannot read {file}: {error}");
        CommandOutcome::failure(ExitStatus::Usage, text)
    })
}

/// Parses a JSON document.
///
/// # Errors
///
/// Returns the outcome of the command, with the position of the error.
pub fn parse<T: serde::de::DeserializeOwned>(file: &str, text: &str) -> Result<T, CommandOutcome> {
    serde_json::from_str(text).map_err(|error| {
        let text = format!("{file}: {error}; see docs/INTERFACES.md for examples");
        CommandOutcome::failure(ExitStatus::Usage, text)
    })
}

fn key_hash(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
