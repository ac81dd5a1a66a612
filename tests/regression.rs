//! Faults that were found once, each named by its test.

use savorykeel_standins::caller::Request;

use crate::harness::{
    deployment::{Deployment, ServiceSpec},
    fleet::{Fleet, Options},
};

/// A request that was lost on a silent link was fenced, and its backend server
/// was then left out for the rest of the request, so that the only one of a
/// service was never asked over the new link: "not run: fenced" in place of an
/// answer.
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
