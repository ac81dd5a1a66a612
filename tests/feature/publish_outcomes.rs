//! Tests of `savorykeel publish` and the outcomes of a publish.

use std::{fs, thread};

use savorykeel_policy::config::raw::RawConfiguration;
use savorykeel_ports::log::CONFIGURATION_STREAM;
use savorykeel_standins::log::Outage;

use crate::harness::{
    command::{CommandOutput, savorykeel},
    deployment::{Deployment, ServiceSpec},
    fleet::{Fleet, Options},
    settings::{TOKEN, token_file},
};

const DONE: Option<i32> = Some(0);
const USAGE: Option<i32> = Some(2);
const CONFLICT: Option<i32> = Some(3);
const REFUSED: Option<i32> = Some(4);
const PENDING: Option<i32> = Some(5);
const UNAUTHORIZED: Option<i32> = Some(6);
const UNREACHABLE: Option<i32> = Some(7);

/// Two nodes of one service, whose operators have a token.
struct Mesh {
    fleet: Fleet,
    deployment: Deployment,
}

impl Mesh {
    fn start() -> Self {
        let services = vec![ServiceSpec::new("gate", 2, true)];
        let deployment = Deployment { zones: 2, services, slots: 20 };
        let fleet = Fleet::start(&deployment, Options::default());
        fs::write(token_file(fleet.dir()), format!("{TOKEN}\n")).unwrap();
        Self { fleet, deployment }
    }

    fn configuration(&self) -> RawConfiguration {
        self.deployment.configuration()
    }

    /// Runs `savorykeel publish` against a node with the token.
    fn publish(
        &self,
        member: usize,
        configuration: &RawConfiguration,
        flags: &[&str],
    ) -> CommandOutput {
        self.publisher(member).publish(configuration, flags)
    }

    fn publisher(&self, member: usize) -> Publisher {
        let token_file = token_file(self.fleet.dir()).to_str().unwrap().into();
        Publisher { operators: self.operators(member), token_file }
    }

    fn status_of_publish(&self, member: usize, id: &str) -> CommandOutput {
        let operators = self.operators(member);
        let args = ["status", "--operators", &operators, "--publish", id, "--wait-ms", "20000"];
        savorykeel(&args, "")
    }

    fn operators(&self, member: usize) -> String {
        self.fleet.members[member].operators().to_string()
    }

    fn records(&self) -> usize {
        self.fleet.log.records(CONFIGURATION_STREAM).len()
    }
}

/// Runs `savorykeel publish` against one node.
struct Publisher {
    operators: String,
    token_file: String,
}

impl Publisher {
    fn publish(&self, configuration: &RawConfiguration, flags: &[&str]) -> CommandOutput {
        self.run(configuration, &[&["--token-file", self.token_file.as_str()], flags].concat())
    }

    fn run(&self, configuration: &RawConfiguration, flags: &[&str]) -> CommandOutput {
        let args = [&["publish", "--operators", self.operators.as_str()], flags].concat();
        savorykeel(&args, &serde_json::to_string(configuration).unwrap())
    }
}

#[test]
fn publish_is_accepted_repeated_refused_and_overtaken() {
    let mesh = Mesh::start();
    let configuration = mesh.configuration();

    let first = mesh.publish(0, &configuration, &["--id", "first"]);
    assert_eq!(first.code, DONE, "{first:?}");
    assert!(first.stdout.contains("accepted as version 1"), "{first:?}");
    mesh.fleet.wait_version(1);

    let repeated = mesh.publish(1, &configuration, &["--id", "first", "--base", "0"]);
    assert_eq!(repeated.code, DONE, "{repeated:?}");
    assert!(repeated.stdout.contains("accepted as version 1"), "{repeated:?}");
    assert_eq!(mesh.records(), 1);

    let conflicting = mesh.publish(1, &configuration, &["--base", "0"]);
    assert_eq!(conflicting.code, CONFLICT, "{conflicting:?}");
    assert!(conflicting.stdout.contains("but version 1 was in force"), "{conflicting:?}");

    let mut broken = configuration.clone();
    broken.routes[1].service = "gates".into();
    let refused = mesh.publish(0, &broken, &[]);
    assert_eq!(refused.code, REFUSED, "{refused:?}");
    let reason = "routes[1].service: route \"gate\" names the unknown service \"gates\"";
    assert!(refused.stdout.contains(reason), "{refused:?}");
    assert_eq!(mesh.records(), 2, "a configuration that breaks a rule is not appended to the log");

    let second = mesh.publish(1, &configuration, &[]);
    assert!(second.stdout.contains("derived from version 1"), "{second:?}");
    assert!(second.stdout.contains("accepted as version 2"), "{second:?}");
    assert_eq!(mesh.status_of_publish(0, "first").code, DONE);
    assert_eq!(mesh.status_of_publish(0, "not a name").code, USAGE);
}

#[test]
fn nothing_is_written_without_the_token() {
    let mesh = Mesh::start();
    let configuration = mesh.configuration();
    let wrong = mesh.fleet.dir().join("wrong");
    fs::write(&wrong, "token-of-somebody-else-altogether").unwrap();

    let none = mesh.publisher(0).run(&configuration, &[]);
    assert_eq!(none.code, UNAUTHORIZED, "{none:?}");
    let flags = ["--token-file", wrong.to_str().unwrap()];
    let other = mesh.publisher(0).run(&configuration, &flags);
    assert_eq!(other.code, UNAUTHORIZED, "{other:?}");
    fs::write(token_file(mesh.fleet.dir()), "short").unwrap();
    let short = mesh.publish(0, &configuration, &[]);
    assert_eq!(short.code, UNAUTHORIZED, "{short:?}");
    assert!(short.stderr.contains("shorter than"), "{short:?}");
    assert_eq!(mesh.records(), 0);

    fs::write(token_file(mesh.fleet.dir()), TOKEN).unwrap();
    assert_eq!(mesh.publish(0, &configuration, &[]).code, DONE, "a new token needs no restart");
}

#[test]
fn a_lost_answer_of_the_log_is_no_lost_publish() {
    let mesh = Mesh::start();
    mesh.fleet.log.lose_append_answers(1);
    let published = mesh.publish(0, &mesh.configuration(), &["--wait-ms", "20000"]);
    assert_eq!(published.code, DONE, "{published:?}");
    assert_eq!(mesh.records(), 1);
}

#[test]
fn a_publish_while_the_log_is_away_is_pending_and_may_be_repeated() {
    let mesh = Mesh::start();
    assert_eq!(mesh.publish(0, &mesh.configuration(), &["--base", "0"]).code, DONE);
    mesh.fleet.log.set_outage(Outage::Unavailable);
    let flags = ["--id", "during-outage", "--base", "1"];
    let pending =
        mesh.publish(0, &mesh.configuration(), &[&flags[..], &["--wait-ms", "0"]].concat());
    assert_eq!(pending.code, PENDING, "{pending:?}");
    assert!(pending.stdout.contains("--publish during-outage"), "{pending:?}");
    assert!(pending.stdout.contains("--id during-outage --base 1"), "{pending:?}");

    mesh.fleet.log.set_outage(Outage::None);
    let repeated =
        mesh.publish(0, &mesh.configuration(), &[&flags[..], &["--wait-ms", "20000"]].concat());
    assert!(repeated.stdout.contains("accepted as version 2"), "{repeated:?}");
    assert_eq!(mesh.status_of_publish(1, "during-outage").code, DONE);
}

#[test]
fn of_two_publishes_at_one_moment_one_is_accepted() {
    let mesh = Mesh::start();
    let configuration = mesh.configuration();
    for base in 0..5 {
        let base = base.to_string();
        let flags = ["--base", &base, "--wait-ms", "20000"];
        let publishers = [mesh.publisher(0), mesh.publisher(1)];
        let codes = thread::scope(|scope| {
            let one = scope.spawn(|| publishers[0].publish(&configuration, &flags).code);
            let other = scope.spawn(|| publishers[1].publish(&configuration, &flags).code);
            [one.join().unwrap(), other.join().unwrap()]
        });
        assert!(codes == [DONE, CONFLICT] || codes == [CONFLICT, DONE], "{codes:?}");
    }
}

#[test]
fn unreachable_api_has_its_own_exit_code() {
    let mesh = Mesh::start();
    let output = savorykeel(&["status", "--operators", "127.0.0.1:1"], "");
    assert_eq!(output.code, UNREACHABLE, "{output:?}");
    let publisher = Publisher { operators: "127.0.0.1:1".into(), ..mesh.publisher(0) };
    let unsent = publisher.publish(&mesh.configuration(), &["--base", "0"]);
    assert_eq!(
        unsent.code, UNREACHABLE,
        "nothing was sent, so the publish is not pending: {unsent:?}"
    );
    let malformed =
        savorykeel(&["publish", "--operators", &mesh.operators(0), "no/such/file.json"], "");
    assert_eq!(malformed.code, USAGE, "{malformed:?}");
    assert_eq!(mesh.records(), 0);
}
