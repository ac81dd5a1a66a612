//! Regression tests, each for one fault that was found and fixed.

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use savorykeel_node::settings::RawSettings;
use savorykeel_policy::{
    code::Code,
    distribution::zone_rank::{READERS_PER_ZONE, ranked},
    ids::{ConfigVersion, InstanceName, RegionName, ZoneName},
    membership::{
        entry::{NodeRecord, Stamp},
        members::Members,
        merge::Entry,
    },
    time::Tick,
};
use savorykeel_standins::{
    backend::Run,
    caller::{Reply, Request},
    proxy::Faults,
};

use crate::harness::{
    deployment::{Deployment, ServiceSpec},
    fleet::{Fleet, Options},
    pipeline::{self, Pipeliner},
    wait::eventually,
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
    fleet.publish_first(&deployment, "/gate");
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

/// Time within which a node that starts has to serve while it reaches the log.
const START_LIMIT: Duration = Duration::from_secs(3);

/// Guards against a node that takes up its roles only after each node of the presence
/// stream has timed out. After a power failure, most records of the stream were of nodes
/// that are gone and whose addresses don't answer; the first node was back after 4 s, and
/// until then every caller was refused.
#[test]
fn node_starts_soon_although_most_nodes_of_the_presence_stream_are_silent() {
    let services = vec![ServiceSpec::new("gate", 6, true)];
    let deployment = Deployment { zones: 1, services, slots: 20 };
    let mut fleet = Fleet::start(&deployment, Options { peer_proxies: true, ..Options::default() });
    fleet.publish_first(&deployment, "/gate");
    let silent = Faults { drop_requests: true, drop_answers: true, ..Faults::default() };
    for member in &fleet.members[1..] {
        member.proxy.as_ref().expect("there is a proxy").set_faults(silent);
    }
    fleet.members[0].kill();
    let started_at = Instant::now();
    fleet.restart(0);
    let entry = fleet.members[0].callers();
    eventually("the node answers a call", || {
        fleet.client.call(entry, Request::get("/gate")).is_ok_and(|reply| reply.status == 200)
    });
    let took = started_at.elapsed();
    assert!(took < START_LIMIT, "the node answered after {took:?}");
}

/// Guards against survivors of a loss that don't get a new configuration until the loss has
/// been noticed. All nodes that read the log were lost, and the others took over their role
/// only once they were suspected to be down.
#[test]
fn survivors_read_the_log_before_they_know_that_its_readers_are_lost() {
    let services = vec![ServiceSpec::new("gate", 8, true)];
    let deployment = Deployment { zones: 1, services, slots: 20 };
    let fleet = Fleet::start(&deployment, Options::default());
    fleet.publish_first(&deployment, "/gate");
    fleet.wait_members();
    let by_rank = names_by_rank(&fleet);
    let survivors = &by_rank[READERS_PER_ZONE + 4..];
    let is_survivor = |instance: &str| survivors.iter().any(|name| name.as_str() == instance);
    let (left, lost): (Vec<_>, Vec<_>) =
        fleet.members.iter().partition(|member| is_survivor(&member.identity.instance));
    // While it starts, a node may count as a reader because it doesn't know the others yet. Its
    // read lasts longer than that and would bring the new configuration.
    for member in &left {
        eventually("the survivor doesn't read the log", || !reads_log(&member.node().log()));
    }
    lost.iter().for_each(|member| member.node().pause());
    fleet.publish(1, &deployment.configuration());
    for member in &left {
        let applied = || member.node().journal().iter().any(|applied| applied.version >= 2);
        eventually("the survivor applies the new configuration", applied);
    }
    let reads_early = left.iter().any(|member| member.node().log().contains("many-silent"));
    assert!(reads_early, "the survivors waited until they had the role of a reader");
}

/// Returns whether a node reads the log, according to the last line of its log about it.
fn reads_log(node_log: &str) -> bool {
    let starts_at = node_log.rfind("this node reads the log");
    starts_at > node_log.rfind("this node doesn't read the log any more")
}

/// Returns the instances of a fleet of one availability zone by the rank that selects the
/// readers of the log.
fn names_by_rank(fleet: &Fleet) -> Vec<InstanceName> {
    let zone = ZoneName::try_from(fleet.members[0].identity.zone_name()).unwrap();
    let records = fleet.members.iter().map(|member| NodeRecord {
        instance: InstanceName::try_from(member.identity.instance.clone()).unwrap(),
        stamp: Stamp { incarnation: 1, sequence: 0 },
        zone: zone.clone(),
        region: RegionName::try_from("region").unwrap(),
        peer_addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        leaving: false,
        backend: None,
        applied: ConfigVersion::default(),
    });
    let records: Vec<NodeRecord> = records.collect();
    let mut members = Members::new(records[0].clone(), Tick(0));
    for record in records {
        members.merge(Entry::alive(record), Tick(0));
    }
    ranked(&members, &zone).into_iter().map(|record| record.instance.clone()).collect()
}

/// Times of a graceful shutdown in the tests of planned stops: the limit leaves far more time
/// than the requests in flight take.
const STOP_LINGER: Duration = Duration::from_millis(700);
const STOP_DRAIN: Duration = Duration::from_secs(5);

/// Starts two instances whose backend servers take 40 ms for a request.
fn start_for_planned_stop() -> Fleet {
    let services = vec![ServiceSpec::new("gate", 2, true)];
    let deployment = Deployment { zones: 1, services, slots: 20 };
    let adjust_node = Box::new(|settings: &mut RawSettings| {
        settings.limits.linger = STOP_LINGER;
        settings.limits.drain = STOP_DRAIN;
    });
    let fleet = Fleet::start(&deployment, Options { adjust_node, ..Options::default() });
    fleet.publish_first(&deployment, "/gate");
    fleet.delay_answers(Duration::from_millis(40));
    fleet
}

/// Starts callers that send a request every 5 ms and waits until each got answers.
fn start_pipelining(entry: SocketAddr, respects_close: bool) -> Vec<Pipeliner> {
    let spacing = Duration::from_millis(5);
    let start = |i| {
        let (path, tag) = ("/gate".into(), format!("pipelined-{i}"));
        Pipeliner::start(entry, pipeline::Plan { path, tag, spacing, respects_close })
    };
    let callers: Vec<Pipeliner> = (0..4).map(start).collect();
    eventually("each caller gets answers", || callers.iter().all(|caller| caller.answers() > 20));
    callers
}

/// Stops the first node, waits until it has ended in order, and returns what the callers saw.
///
/// Asserts that each request that ran got an answer.
#[track_caller]
fn stop_without_a_cut(fleet: &mut Fleet, callers: Vec<Pipeliner>) -> Vec<pipeline::Connection> {
    fleet.members[0].node().term();
    let status = fleet.members[0].node_mut().wait_exit();
    let connections: Vec<_> = callers.into_iter().flat_map(Pipeliner::finish).collect();
    let runs = fleet.runs();
    let ran = |tag: &&String| runs.iter().any(|run| run.tag.as_ref() == Some(*tag));
    let unanswered = connections.iter().flat_map(|connection| connection.unanswered());
    let cut: Vec<_> = unanswered.filter(ran).collect();
    assert!(cut.is_empty(), "ran and got no answer: {cut:?}");
    assert_eq!(status.code(), Some(0), "{}", fleet.members[0].node().log());
    connections
}

/// Guards against requests that a stopping node passes on and cuts at its drain limit.
/// It asked for the close of a connection only while no other request was in flight there. A
/// caller that pipelined never heard of it, and its requests were read until the limit.
#[test]
fn a_stopping_node_answers_the_requests_of_callers_that_pipeline() {
    let mut fleet = start_for_planned_stop();
    let callers = start_pipelining(fleet.members[0].callers(), true);
    stop_without_a_cut(&mut fleet, callers);
}

/// Guards against answers that a reset destroys and a stop that waits for its callers.
/// These callers go on sending after they were asked to close, so their requests arrive while
/// the node closes the connection.
#[test]
fn a_stopping_node_delivers_its_answers_to_callers_that_go_on_sending() {
    let mut fleet = start_for_planned_stop();
    let callers = start_pipelining(fleet.members[0].callers(), false);
    let signalled_at = Instant::now();
    let connections = stop_without_a_cut(&mut fleet, callers);
    let took = signalled_at.elapsed();
    assert!(connections.iter().any(|connection| connection.was_asked_to_close));
    assert!(took < STOP_LINGER + STOP_DRAIN / 2, "the node stopped after {took:?}");
}

/// Timeout of the route, and the caller's deadline, in the test of a frozen node.
const FROZEN_ROUTE_TIMEOUT: Duration = Duration::from_millis(800);
const FROZEN_DEADLINE: Duration = Duration::from_millis(2_500);

/// Time after the route's timeout within which each request has its answer.
const LATE_ANSWER_LIMIT: Duration = Duration::from_millis(500);

/// Time for which the node is frozen: longer than a link counts as silent and an attempt to
/// open another one takes.
const FREEZE: Duration = Duration::from_secs(4);

/// Time between two requests for the service of the frozen node.
const FROZEN_SPACING: Duration = Duration::from_millis(20);

/// Guards against requests that wait past the timeout of their route for a link to a node that
/// is frozen. They queued for the lock of the link, and each tried to open it once more in its
/// turn; queries what became of lost calls did the same and weren't bounded by the deadline.
#[test]
fn requests_for_a_frozen_node_are_answered_in_time() {
    let services = vec![ServiceSpec::new("gate", 1, true), ServiceSpec::new("history", 2, false)];
    let deployment = Deployment { zones: 1, services, slots: 20 };
    let fleet = Fleet::start(&deployment, Options::default());
    let mut configuration = deployment.configuration();
    for route in &mut configuration.routes {
        route.timeout_ms = FROZEN_ROUTE_TIMEOUT.as_millis() as u64;
    }
    fleet.publish(0, &configuration);
    fleet.wait_answered("/gate");
    fleet.wait_answered("/gate/change");
    fleet.members[0].node().pause();
    let (frozen_at, deadline) = (Instant::now(), FROZEN_DEADLINE.as_millis().to_string());
    let answers: Vec<_> = thread::scope(|scope| {
        let mut pending = Vec::new();
        for i in 0.. {
            if frozen_at.elapsed() > FREEZE {
                break;
            }
            let req = match i % 3 {
                0 => Request::get("/gate"),
                1 => Request::post("/gate/change", "open"),
                _ => Request::post("/gate/change", "open").key(&format!("frozen-{i}")),
            };
            let req = req.header("Savorykeel-Deadline-Ms", &deadline);
            let (client, entry) = (&fleet.client, fleet.members[1 + i % 2].callers());
            let sent_at = Instant::now();
            pending.push(scope.spawn(move || (client.call(entry, req), sent_at.elapsed())));
            thread::sleep(FROZEN_SPACING);
        }
        pending.into_iter().map(|call| call.join().expect("the call ends")).collect()
    });
    let limit = FROZEN_ROUTE_TIMEOUT + LATE_ANSWER_LIMIT;
    let late: Vec<_> = answers.iter().filter(|(_, took)| *took > limit).collect();
    assert!(late.is_empty(), "{} of {} answers are late: {late:?}", late.len(), answers.len());
    let is_turned_away = |reply: &Reply| reply.outcome() == Some("not-run");
    let turned_away: Vec<_> =
        answers.iter().filter(|(reply, _)| reply.as_ref().is_ok_and(is_turned_away)).collect();
    assert!(2 * turned_away.len() > answers.len(), "only {} turned away", turned_away.len());
    let mut waits: Vec<Duration> = turned_away.iter().map(|(_, took)| *took).collect();
    waits.sort();
    let median = waits[waits.len() / 2];
    assert!(median < FROZEN_ROUTE_TIMEOUT / 4, "half of them waited for {median:?} or longer");
    fleet.members[0].node().resume();
    fleet.wait_answered("/gate");
}

/// Number of slow uploads, and the time between the ends of two of them.
const SLOW_UPLOADS: usize = 12;
const SLOW_UPLOAD_SPACING: Duration = Duration::from_millis(200);

/// Guards against requests that are read late in a planned stop, passed on and cut.
/// The last byte of a slow upload may arrive shortly before the drain limit. Its request got
/// the whole time of its route, although the node ended before.
#[test]
fn uploads_that_end_late_in_a_planned_stop_are_answered() {
    let services = vec![ServiceSpec::new("gate", 2, true)];
    let deployment = Deployment { zones: 1, services, slots: 20 };
    let adjust_node = Box::new(|settings: &mut RawSettings| {
        settings.limits.linger = STOP_LINGER;
        settings.limits.drain = Duration::from_millis(1_500);
    });
    let fleet = Fleet::start(&deployment, Options { adjust_node, ..Options::default() });
    fleet.publish_first(&deployment, "/gate");
    fleet.delay_answers(Duration::from_millis(400));
    let entry = fleet.members[0].callers();
    // The node knows how long requests of the route take.
    let reply = fleet.client.call(entry, Request::post("/gate/change", "u")).unwrap();
    assert_eq!(reply.status, 200, "{reply:?}");
    let begin = |i| {
        let mut stream = TcpStream::connect(entry).unwrap();
        let head = format!(
            "POST /gate/change HTTP/1.1\r\nHost: a\r\nX-Request-Tag: slow-{i}\r\nContent-Length: 2\r\n\r\nu"
        );
        stream.write_all(head.as_bytes()).unwrap();
        stream
    };
    let uploads: Vec<TcpStream> = (0..SLOW_UPLOADS).map(begin).collect();
    thread::sleep(SLOW_UPLOAD_SPACING);
    fleet.members[0].node().term();
    let answers: Vec<String> = thread::scope(|scope| {
        let finish = |(i, mut stream): (usize, TcpStream)| {
            scope.spawn(move || {
                thread::sleep(SLOW_UPLOAD_SPACING * (i as u32 + 1));
                // The node may have ended.
                let _ = stream.write_all(b"u");
                let mut answer = Vec::new();
                let _ = stream.read_to_end(&mut answer);
                String::from_utf8_lossy(&answer).into_owned()
            })
        };
        let pending: Vec<_> = uploads.into_iter().enumerate().map(finish).collect();
        pending.into_iter().map(|upload| upload.join().expect("the upload ends")).collect()
    });
    let runs = fleet.runs();
    for (i, answer) in answers.iter().enumerate() {
        let tag = format!("slow-{i}");
        let ran = runs.iter().any(|run| run.tag.as_deref() == Some(&tag));
        let is_ok = answer.starts_with("HTTP/1.1 200 ");
        let is_not_run = answer.starts_with("HTTP/1.1 503 ") || answer.is_empty();
        assert!(if ran { is_ok } else { is_not_run }, "{tag}, which ran: {ran}: {answer:?}");
    }
    assert!(answers.iter().any(|answer| answer.contains("\"leaving\"")), "{answers:?}");
}

/// Guards against calls of the local backend server that are cut when its node has drained.
/// Their listener was served by the HTTP library, whose stop ignores requests on the way.
#[test]
fn a_stopping_node_answers_the_calls_of_its_backend_server() {
    let mut fleet = start_for_planned_stop();
    let callers = start_pipelining(fleet.members[0].node().ready().backend, true);
    stop_without_a_cut(&mut fleet, callers);
}

/// Guards against connections that are cut at the drain limit although the node could say that
/// the outcome is unknown.
#[test]
fn a_caller_that_waits_at_the_drain_limit_gets_a_reply() {
    let adjust_node = Box::new(|settings: &mut RawSettings| {
        settings.limits.drain = Duration::from_millis(500);
    });
    let services = vec![ServiceSpec::new("gate", 1, true), ServiceSpec::new("history", 1, false)];
    let deployment = Deployment { zones: 1, services, slots: 20 };
    let mut fleet = Fleet::start(&deployment, Options { adjust_node, ..Options::default() });
    fleet.publish_first(&deployment, "/gate");
    fleet.delay_answers(Duration::from_secs(8));
    let entry = fleet.members[1].callers();
    let pending = fleet.client.send(entry, Request::post("/gate/change", "open").tag("long"));
    let ran = |run: &Run| run.tag.as_deref() == Some("long");
    eventually("the request runs", || fleet.runs().iter().any(ran));
    fleet.members[1].node().term();
    let reply = pending.wait().expect("there is a reply");
    assert_eq!(reply.code(), Some(Code::NodeStopped.number()), "{reply:?}");
    assert_eq!(fleet.members[1].node_mut().wait_exit().code(), Some(8));
    let cancelled: u64 = fleet.members[0].backend().counts().cancelled;
    assert_eq!(cancelled, 0, "the request runs on");
}

/// Deadline of the requests in the test of severed links: less than a link may stay silent.
const SEVERED_DEADLINE: Duration = Duration::from_millis(950);

/// Guards against requests that fail although a new connection would work.
/// Something between two nodes lost track of an open connection: what is sent on it vanishes.
/// The link was noticed to be silent 1.0 s to 1.5 s after a request had been sent on it, which
/// is later than many deadlines.
#[test]
fn requests_on_a_severed_link_are_answered_before_their_deadline() {
    let services = vec![ServiceSpec::new("gate", 1, true), ServiceSpec::new("history", 1, false)];
    let deployment = Deployment { zones: 1, services, slots: 20 };
    let fleet = Fleet::start(&deployment, Options { peer_proxies: true, ..Options::default() });
    fleet.publish_first(&deployment, "/gate");
    let entry = fleet.members[1].callers();
    let deadline = SEVERED_DEADLINE.as_millis().to_string();
    for round in 0..4 {
        fleet.members[0].proxy.as_ref().expect("there is a proxy").silence_established();
        let tag = format!("severed-{round}");
        let req = Request::post("/gate/change", "open").tag(&tag);
        let req = req.header("Savorykeel-Deadline-Ms", &deadline);
        let reply = fleet.client.call(entry, req).expect("the call is answered");
        assert_eq!((reply.status, reply.outcome()), (200, Some("answered")), "{tag}: {reply:?}");
        let runs = fleet.runs();
        assert_eq!(runs.iter().filter(|run| run.tag.as_deref() == Some(&tag)).count(), 1);
    }
}

/// Guards against a refusal that waits for the rest of a body that nobody needs.
/// The caller stops in the middle of its upload, and got the refusal 2 s after the timeout.
#[test]
fn an_upload_that_stalls_is_refused_in_time() {
    let services = vec![ServiceSpec::new("gate", 1, true)];
    let deployment = Deployment { zones: 1, services, slots: 20 };
    let fleet = Fleet::start(&deployment, Options::default());
    fleet.publish_first(&deployment, "/gate");
    let mut stream = TcpStream::connect(fleet.members[0].callers()).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let timeout = Duration::from_millis(800);
    let head = format!(
        "POST /gate/change HTTP/1.1\r\nHost: a\r\nSavorykeel-Deadline-Ms: {}\r\nContent-Length: 9\r\n\r\nstall",
        timeout.as_millis()
    );
    let sent_at = Instant::now();
    stream.write_all(head.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("the node answers and closes");
    let took = sent_at.elapsed();
    assert!(answer.contains("\"deadline-before-start\""), "{answer}");
    assert!(answer.to_ascii_lowercase().contains("connection: close"), "{answer}");
    assert!(took < timeout + LATE_ANSWER_LIMIT, "the connection ended after {took:?}");
}

/// Guards against connections that stay open after they were tried beside a slow link.
/// The answer to a heartbeat came while another connection was being opened, which was forgotten
/// and stayed open as long as the nodes lived.
#[test]
fn a_slow_link_leaves_no_connections_behind() {
    let services = vec![ServiceSpec::new("gate", 1, true), ServiceSpec::new("history", 1, false)];
    let deployment = Deployment { zones: 1, services, slots: 20 };
    let fleet = Fleet::start(&deployment, Options { peer_proxies: true, ..Options::default() });
    fleet.publish_first(&deployment, "/gate");
    let entry = fleet.members[1].callers();
    let proxy = fleet.members[0].proxy.as_ref().expect("there is a proxy");
    let before = proxy.counts();
    proxy.set_faults(Faults { answer_delay_ms: 350, ..Faults::default() });
    let slow_until = Instant::now() + Duration::from_secs(5);
    while Instant::now() < slow_until {
        let reply = fleet.client.call(entry, Request::get("/gate")).expect("it is answered");
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    proxy.clear_faults();
    let opened = proxy.counts().connections - before.connections;
    assert!(opened > 3, "other connections were tried: {opened}");
    eventually("the connections that were tried are closed", || {
        proxy.counts().open <= before.open + 1
    });
}
