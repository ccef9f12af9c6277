//! Command line of the daemon.

use std::fmt::Write as _;
use std::fs;
use std::io;

use briarswitch_core::prelude::*;
use briarswitch_fleet::FleetSettings;
use gumdrop::Options;

use crate::fields::{FieldDefault, FIELDS};
use crate::layers::SettingsLayers;
use crate::settings::NodeSettings;
use crate::settings_file::read_when_whole;

/// Options of `briarswitch-node`.
#[derive(Debug, Options)]
pub struct NodeOptions {
    /// Whether to print the usage and exit.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to print the version and exit.
    #[options(help = "print the version")]
    pub version: bool,
    /// Settings files; values in later files override those in earlier ones.
    #[options(
        help = "read settings from a JSON file; may be repeated",
        meta = "FILE"
    )]
    pub settings: Vec<String>,
    /// Settings file to check without starting a node.
    #[options(help = "only check a settings file", meta = "FILE")]
    pub check: Option<String>,
    /// Settings file of a node that serves a fleet.
    #[options(
        no_short,
        help = "serve a fleet, with settings from a JSON file",
        meta = "FILE"
    )]
    pub fleet: Option<String>,
    /// Whether to check the fleet's settings without starting a node.
    #[options(no_short, help = "with --fleet: only check the settings")]
    pub dry_run: bool,
    /// Settings given on the command line as `PATH=VALUE`; they override the files.
    #[options(help = "set one setting; may be repeated", meta = "PATH=VALUE")]
    pub set: Vec<String>,
    /// Whether to print every setting and exit.
    #[options(no_short, help = "print every setting, its default and its meaning")]
    pub list_settings: bool,
}

/// Action that the command line selects.
#[derive(Debug)]
pub enum Startup {
    /// Run a node.
    Run(Box<NodeSettings>),
    /// Run a node that serves a fleet.
    RunFleet(Box<FleetSettings>),
    /// Print a text and exit with success.
    Print(String),
    /// Print the faults found in the settings and exit with an error.
    InvalidSettings(Vec<Finding>),
}

impl NodeOptions {
    /// Reads the settings files named on the command line and returns the action to take.
    pub fn startup(&self) -> Startup {
        if self.help {
            let usage = Self::usage();
            return Startup::Print(format!("briarswitch-node [OPTIONS]\n\n{usage}"));
        }
        if self.version {
            return Startup::Print(format!("briarswitch-node {}", env!("CARGO_PKG_VERSION")));
        }
        if self.list_settings {
            return Startup::Print(settings_table());
        }
        if let Some(name) = &self.fleet {
            return self.fleet_startup(name);
        }
        let is_check = self.check.is_some();
        match self.load() {
            Ok(_) if is_check => Startup::Print("settings are valid".to_owned()),
            Ok(settings) => Startup::Run(Box::new(settings)),
            Err(findings) => Startup::InvalidSettings(findings),
        }
    }

    /// Reads a settings file; a check doesn't wait for one that is still written.
    fn read(&self, name: &str) -> io::Result<String> {
        if self.dry_run || self.check.is_some() {
            return fs::read_to_string(name);
        }
        read_when_whole(name)
    }

    fn fleet_startup(&self, name: &str) -> Startup {
        let text = match self.read(name) {
            Ok(text) => text,
            Err(error) => {
                let finding = Finding::new(name, format!("cannot be read: {error}"));
                return Startup::InvalidSettings(vec![finding]);
            }
        };
        match FleetSettings::parse(name, &text) {
            Ok(_) if self.dry_run => Startup::Print("settings are valid".to_owned()),
            Ok(settings) => Startup::RunFleet(Box::new(settings)),
            Err(findings) => Startup::InvalidSettings(findings),
        }
    }

    fn load(&self) -> Result<NodeSettings, Vec<Finding>> {
        let mut layers = SettingsLayers::with_defaults();
        let mut read_errors = Vec::new();
        for name in self.settings.iter().chain(&self.check) {
            match self.read(name) {
                Ok(text) => layers.add_file(name, &text),
                Err(error) => {
                    read_errors.push(Finding::new(name, format!("cannot be read: {error}")));
                }
            }
        }
        for flag in &self.set {
            layers.add_flag(flag);
        }
        match layers.build() {
            Ok(settings) if read_errors.is_empty() => Ok(settings),
            Ok(_) => Err(read_errors),
            Err(findings) => Err(read_errors.into_iter().chain(findings).collect()),
        }
    }
}

fn settings_table() -> String {
    let mut table = String::new();
    for field in FIELDS {
        let default = match field.default {
            FieldDefault::Text(text) => text.to_owned(),
            FieldDefault::Number(number) => number.to_string(),
        };
        let accepted = field.kind.expected();
        let _ = writeln!(
            table,
            "{:<36} {:<24} {} ({accepted})",
            field.path, default, field.description
        );
    }
    table
}
