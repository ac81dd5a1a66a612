//! Regression tests, each for one fault that was found and fixed.

use savorykeel_standins::caller::Request;

use crate::harness::{
    deployment::{Deployment, ServiceSpec},
    fleet::{Fleet, Options},
};

/// Guards against a backend server that stays excluded after its link went silent.
/// The lost attempt was fenced and its backend server excluded for the rest of the
/// request. When it was the service's only one, no attempt used the new link and
/// the caller received "not run: fenced" in place of an answer.
#[test]
fn only_backend_server_is_asked_again_after_its_link_went_silent() {
    let services = vec![ServiceSpec::new("gate", 1, true), ServiceSpec::new("history", 1, false)];
    let deployment = Deployment { zones: 1, services, slots: 20 };
    let fleet = Fleet::start(&deployment, Options { peer_proxies: true, ..Options::default() });
    fleet.publish(0, &deployment.configuration());
    fleet.wait_version(1);
    fleet.wait_answered("/gate");
    let entry = fleet.members[1].callers();
    for round in 0..3 {
        fleet.members[0].proxy.as_ref().expect("there is a proxy").silence_established();
        let tag = format!("silent-{round}");
        let reply = fleet.client.call(entry, Request::post("/gate/change", "open").tag(&tag));
        let reply = reply.expect("the call is answered");
        assert_eq!((reply.status, reply.outcome()), (200, Some("answered")), "{reply:?}");
        let runs = fleet.runs();
        assert_eq!(runs.iter().filter(|run| run.tag.as_deref() == Some(&tag)).count(), 1);
    }
}
