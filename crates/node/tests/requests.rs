//! What callers are told, caused for real at every point of failure.

mod support;

use std::time::Duration;

use briarswitch_standins::PlainStandin;
use googletest::prelude::*;
use nix::sys::signal::Signal;
use support::{chat_body, finish, Answer, Cluster, Plan, MODEL, SERVICE};

fn service_plan() -> Plan {
    Plan {
        engines_per_zone: 0,
        services_per_zone: 1,
        ..Plan::default()
    }
}

fn only_service(cluster: &Cluster) -> &PlainStandin {
    cluster.services.values().next().expect("a service")
}

/// A chat answer comes whole, streamed or not, with who served it.
#[tokio::test(flavor = "multi_thread")]
async fn answers_are_whole() {
    let cluster = Cluster::start(Plan::default()).await;

    let whole = cluster.chat(0, 5, false).await.expect("an answer");
    assert_that!(whole.body, contains_substring("w0 w1 w2 w3 w4 "));
    assert_that!(whole.outcome(), eq("answered"));

    let streamed = cluster.chat(0, 5, true).await.expect("an answer");
    assert_that!(streamed.events(), len(eq(5)));
    assert_that!(streamed.has_end_mark() && streamed.is_whole, eq(true));
}

/// Symptom: a caller was told "unknown" although nothing listened at the target.
/// Sequence: the service's machine dies; a call arrives before its evidence has run out.
/// Cause: a connection that was never opened was not told apart from one that broke.
#[tokio::test(flavor = "multi_thread")]
async fn call_to_a_dead_target_did_not_run() {
    let mut cluster = Cluster::start(service_plan()).await;
    for service in cluster.services.values_mut() {
        service.kill();
    }
    let answer = cluster.call(0, "/bill", &[]).await.expect("an answer");

    assert_that!(answer.outcome(), eq("not_run"));
    assert_that!(cluster.calls("/bill"), eq(0));
}

/// Symptom: an order was billed twice.
/// Sequence: the service runs the call and breaks off before answering.
/// Cause: the call was sent again, although it may not be repeated.
#[tokio::test(flavor = "multi_thread")]
async fn broken_call_is_not_sent_again() {
    let cluster = Cluster::start(Plan {
        services_per_zone: 2,
        ..service_plan()
    })
    .await;
    for service in cluster.services.values() {
        service.update_faults(|faults| faults.breaks = 1);
    }
    let answer = cluster.call(0, "/bill", &[]).await.expect("an answer");

    assert_that!(answer.outcome(), eq("unknown"));
    assert_that!(cluster.calls("/bill"), eq(1));
}

/// Symptom: a caller waited for ever, or was told "not run" of a call that ran.
/// Sequence: the service runs the call and stays silent past the caller's deadline.
/// Cause: silence proves nothing; only the deadline ends the wait, and the outcome is open.
#[tokio::test(flavor = "multi_thread")]
async fn silent_target_leaves_the_outcome_open() {
    let cluster = Cluster::start(service_plan()).await;
    only_service(&cluster).update_faults(|faults| faults.unanswered = 1);
    let headers = [("x-deadline-ms", "300")];
    let answer = cluster.call(0, "/bill", &headers).await.expect("an answer");

    assert_that!(answer.outcome(), eq("unknown"));
    assert_that!(answer.code(), eq("answer_deadline"));
    assert_that!(cluster.calls("/bill"), eq(1));
}

/// A request that may be repeated goes to another group after each kind of failure.
#[tokio::test(flavor = "multi_thread")]
async fn repeatable_request_is_tried_at_another_group() {
    let cluster = Cluster::start(Plan {
        engines_per_zone: 4,
        replicas_per_zone: 2,
        ..Plan::default()
    })
    .await;
    let status = cluster.status(0).await.expect("a status");
    let leader = &cluster.engines[&status.groups[0].members[0]];
    for fault in ["truncations", "foreign", "refusals", "errors"] {
        leader.update_faults(|faults| match fault {
            "truncations" => faults.truncations = 1,
            "foreign" => faults.foreign_responses = 1,
            "refusals" => faults.refusals = 1,
            _ => faults.errors = 1,
        });
        // Requests go to either group; the leader runs one once its fault is used up.
        let before = leader.record().executions.len();
        while leader.record().executions.len() < before + 2 {
            let answer = cluster.chat(0, 3, false).await.expect("an answer");
            assert_that!(answer.outcome(), eq("answered"), "after {fault}");
            assert_that!(answer.body, contains_substring("w0 w1 w2 "));
        }
    }
}

/// A request that may not be repeated is told the truth after each kind of failure.
#[tokio::test(flavor = "multi_thread")]
async fn unrepeatable_request_is_told_the_truth() {
    let cluster = Cluster::start(Plan::default()).await;
    let cases = [
        ("truncations", "unknown", "truncated"),
        ("foreign", "unknown", "foreign_answer"),
        ("errors", "unknown", "target_error"),
        ("refusals", "not_run", "no_target"),
    ];
    for (fault, outcome, code) in cases {
        for engine in cluster.engines.values() {
            engine.update_faults(|faults| match fault {
                "truncations" => faults.truncations = 1,
                "foreign" => faults.foreign_responses = 1,
                "refusals" => faults.refusals = 1,
                _ => faults.errors = 1,
            });
        }
        let before = cluster.executions();
        let headers = [("x-repeatable", "false")];
        let answer = cluster.chat_with(0, 3, false, &headers).await;
        let answer = answer.expect("an answer");
        assert_that!(answer.outcome(), eq(outcome), "after {fault}");
        assert_that!(answer.code(), eq(code), "after {fault}");
        let ran = cluster.executions() - before;
        assert_that!(ran, eq(usize::from(outcome == "unknown")), "after {fault}");
        for engine in cluster.engines.values() {
            engine.update_faults(|faults| *faults = Default::default());
        }
    }
}

/// Symptom: tokens were missing or doubled in a stream whose connection broke half way.
/// Sequence: the engine's connection breaks after three events; the engine lives and can resume.
/// Cause: the stream was begun anew, or from a wrong place, instead of after what was passed on.
#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_is_resumed_at_its_offset() {
    let cluster = Cluster::start(Plan::default()).await;
    for engine in cluster.engines.values() {
        engine.update_faults(|faults| {
            faults.break_after = Some(3);
            faults.breaks = 1;
        });
    }
    let answer = cluster.chat(0, 8, true).await.expect("an answer");

    let words: Vec<String> = answer.events().iter().map(|event| word_of(event)).collect();
    let expected: Vec<String> = (0..8).map(|index| format!("w{index} ")).collect();
    assert_that!(words, eq(&expected));
    assert_that!(answer.has_end_mark() && answer.is_whole, eq(true));
}

/// Symptom: a caller took half an answer for a whole one.
/// Sequence: the stream breaks and the engine has forgotten it, or ends it without the end mark.
/// Cause: the broken stream was ended tidily; it has to be visibly broken.
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_can_not_be_resumed_is_visibly_broken() {
    let cluster = Cluster::start(Plan::default()).await;
    for engine in cluster.engines.values() {
        engine.update_faults(|faults| {
            faults.break_after = Some(3);
            faults.breaks = 1;
            faults.rejects_resume = true;
        });
    }
    let broken = cluster.chat(0, 8, true).await.expect("an answer");
    assert_broken(&broken);

    for engine in cluster.engines.values() {
        engine.update_faults(|faults| {
            *faults = Default::default();
            faults.missing_end_events = 1;
            faults.rejects_resume = true;
        });
    }
    let unmarked = cluster.chat(0, 8, true).await.expect("an answer");
    assert_broken(&unmarked);
}

fn assert_broken(answer: &Answer) {
    assert_that!(answer.has_end_mark(), eq(false));
    assert_that!(answer.is_whole, eq(false));
    assert_that!(answer.body, contains_substring(r#""outcome":"unknown""#));
}

/// Symptom: engines went on generating for callers that had left.
/// Sequence: a caller closes its connection after the first token.
/// Cause: the stream from the engine was read on; dropping it closes its connection.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_caller_cancels_its_stream() {
    let cluster = Cluster::start(Plan::default()).await;
    let headers = [("authorization", "Bearer kayal-key")];
    let body = chat_body(100_000, true);
    let path = "/v1/chat/completions";
    let reply = cluster
        .begin(&cluster.callers(0), "POST", path, &headers, &body)
        .await;
    let (_, mut body) = reply.expect("a head");
    assert_that!(
        body.next().await.is_ok_and(|piece| piece.is_some()),
        eq(true)
    );
    drop(body);

    cluster
        .wait("the engine stops", async |cluster| {
            let mut engines = cluster.engines.values();
            engines.any(|engine| engine.record().cancelled == 1)
        })
        .await;
}

/// Symptom: one key's work ran more than once.
/// Sequence: the same keys come through all six nodes at once, again and again.
/// Cause: each node knew only of its own requests; the key is claimed in the table first.
#[tokio::test(flavor = "multi_thread")]
async fn key_runs_at_most_once_through_six_nodes() {
    const KEYS: usize = 50;
    const ROUNDS: usize = 34;
    let cluster = Cluster::start(Plan {
        zones: 3,
        nodes_per_zone: 2,
        ..service_plan()
    })
    .await;
    let mut answered = 0;
    for round in 0..ROUNDS {
        let calls = (0..KEYS * 6).map(|index| {
            let key = format!("order-{}", index / 6);
            let cluster = &cluster;
            async move {
                let headers = [("idempotency-key", key.as_str())];
                cluster.call((index + round) % 6, "/bill", &headers).await
            }
        });
        let answers = futures_join(calls.collect()).await;
        answered += count(&answers, "answered");
    }
    let service_calls = cluster.services.values().flat_map(PlainStandin::calls);
    let mut keys: Vec<String> = service_calls
        .filter(|call| call.path == "/bill")
        .filter_map(|call| call.key)
        .collect();
    let runs = keys.len();
    keys.sort();
    keys.dedup();

    assert_that!(runs, eq(KEYS));
    assert_that!(keys, len(eq(KEYS)));
    assert_that!(answered, eq(KEYS));
}

/// Symptom: a billing call ran twice after its node died.
/// Sequence: the node dies while the service works; the caller tries again through another node.
/// Cause: the claim lived in the dead node's memory; it is in the table.
#[tokio::test(flavor = "multi_thread")]
async fn key_survives_the_death_of_its_node() {
    let mut cluster = Cluster::start(Plan {
        nodes_per_zone: 2,
        ..service_plan()
    })
    .await;
    only_service(&cluster).update_faults(|faults| faults.unanswered = 1);
    let address = cluster.callers(0);
    let headers = [
        ("authorization", "Bearer kayal-key"),
        ("idempotency-key", "order-1"),
    ];
    let path = format!("/services/{SERVICE}/bill");
    let first = cluster.send(&address, "POST", &path, &headers, "{}");
    let killing = cluster.wait("the service works", async |cluster| {
        cluster.calls("/bill") == 1
    });
    tokio::select! {
        _ = first => panic!("the service never answers"),
        () = killing => {}
    }
    cluster.nodes[0].kill();
    let again = cluster
        .call(1, "/bill", &[("idempotency-key", "order-1")])
        .await;
    let again = again.expect("an answer");

    assert_that!(again.outcome(), eq("unknown"));
    assert_that!(again.code(), eq("key_claimed"));
    assert_that!(cluster.calls("/bill"), eq(1));
}

/// Symptom: a key stayed burnt although its request was told "not run".
/// Sequence: a keyed call finds the target dead; the target is replaced; the caller tries again.
/// Cause: the claim was kept; a key under which nothing ran is given back.
#[tokio::test(flavor = "multi_thread")]
async fn key_of_a_call_that_did_not_run_can_be_used_again() {
    let mut cluster = Cluster::start(service_plan()).await;
    let name = cluster.services.keys().next().expect("a service").clone();
    cluster.services.get_mut(&name).expect("a service").kill();
    let headers = [("idempotency-key", "order-1")];
    let first = cluster.call(0, "/bill", &headers).await.expect("an answer");
    assert_that!(first.outcome(), eq("not_run"));

    cluster.add_service("kakkanad", &name, 2, "127.0.0.1:0");
    cluster
        .wait("the replacement answers", async |cluster| {
            let answer = cluster.call(0, "/ping", &[]).await;
            answer.is_some_and(|answer| answer.status == 200)
        })
        .await;
    let second = cluster.call(0, "/bill", &headers).await.expect("an answer");
    assert_that!(second.outcome(), eq("answered"));
    assert_that!(cluster.calls("/bill"), eq(1));
}

/// Symptom: a call went out on a connection to a machine that had been replaced.
/// Sequence: calls that may be repeated keep a connection; the machine is replaced at its very
/// address; more calls come.
/// Cause: connections were kept by address alone; they are kept by the machine's life.
#[tokio::test(flavor = "multi_thread")]
async fn kept_connections_die_with_the_machine() {
    let mut cluster = Cluster::start(service_plan()).await;
    let name = cluster.services.keys().next().expect("a service").clone();
    let address = cluster.services[&name].address().to_string();
    let headers = [("x-repeatable", "true")];
    for _ in 0..5 {
        let answer = cluster.call(0, "/look", &headers).await.expect("an answer");
        assert_that!(answer.outcome(), eq("answered"));
    }
    cluster.services.get_mut(&name).expect("a service").kill();
    cluster.add_service("kakkanad", &name, 2, &address);
    // Until the platform lists the new life a call is refused as not run, and it must be true.
    for _ in 0..5 {
        cluster
            .wait("the new life answers", async |cluster| {
                let answer = cluster.call(0, "/look", &headers).await.expect("an answer");
                let outcome = answer.outcome();
                assert_that!(outcome, any!(eq("answered"), eq("not_run")));
                outcome == "answered"
            })
            .await;
    }
    assert_that!(cluster.calls("/look"), eq(5));
}

/// Symptom: billing ran twice, or stopped altogether, while the platform was away.
/// Sequence: the platform goes down; calls come with and without a key.
/// Cause: without the table a key can not be claimed, so keyed calls are refused as not run; calls
/// without a key need no table and go on, each sent at most once.
#[tokio::test(flavor = "multi_thread")]
async fn platform_outage_refuses_keys_honestly() {
    let cluster = Cluster::start(service_plan()).await;
    cluster
        .platform
        .update_faults(|faults| faults.is_down = true);

    let headers = [("idempotency-key", "order-1")];
    let keyed = cluster.call(0, "/bill", &headers).await.expect("an answer");
    assert_that!(keyed.outcome(), eq("not_run"));
    assert_that!(keyed.code(), eq("claim_store"));
    assert_that!(keyed.headers.contains_key("retry-after"), eq(true));
    assert_that!(cluster.calls("/bill"), eq(0));

    let unkeyed = cluster.call(0, "/bill", &[]).await.expect("an answer");
    assert_that!(unkeyed.outcome(), eq("answered"));
    assert_that!(cluster.calls("/bill"), eq(1));
}

/// Symptom: a call ran twice because the answer to its claim was lost.
/// Sequence: the claim takes effect; its answer is lost; the caller's call goes on.
/// Cause: the claim was taken for somebody else's, or written again; it is read back by its id.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_to_a_claim_is_read_back() {
    let cluster = Cluster::start(service_plan()).await;
    cluster
        .platform
        .update_faults(|faults| faults.lose_answers = 1);
    let mut outcomes = Vec::new();
    for _ in 0..3 {
        let headers = [("idempotency-key", "order-1")];
        let answer = cluster.call(0, "/bill", &headers).await.expect("an answer");
        outcomes.push(answer.outcome());
    }

    assert_that!(cluster.calls("/bill"), eq(1));
    assert_that!(outcomes[0], eq("answered"));
    assert_that!(outcomes[1..], each(eq("unknown")));
}

/// Symptom: a machine that was leaving went on getting new work.
/// Sequence: the platform marks one of two machines as leaving, then lists it as live again for a
/// moment, as a lagging list may.
/// Cause: the mark was taken back by an older list; it holds for that life of the machine.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_target_gets_nothing_new() {
    let cluster = Cluster::start(Plan {
        services_per_zone: 2,
        ..service_plan()
    })
    .await;
    let (name, leaving) = cluster.services.iter().next().expect("a service");
    cluster.platform.mark_leaving(name);
    cluster
        .wait("the mark is seen", async |cluster| {
            let dump = cluster.dump(0, "watch").await;
            dump["leaving"].as_array().is_some_and(|vms| vms.len() == 1)
        })
        .await;
    let before = leaving.calls().len();
    for _ in 0..40 {
        let answer = cluster.call(0, "/bill", &[]).await.expect("an answer");
        assert_that!(answer.outcome(), eq("answered"));
    }
    assert_that!(leaving.calls(), len(eq(before)));
}

/// Symptom: a target that said it was leaving was asked again and again.
/// Sequence: the target refuses a call as not run and says that it is leaving.
/// Cause: only the platform's list was believed; the target's own word counts too.
#[tokio::test(flavor = "multi_thread")]
async fn target_that_says_it_leaves_is_believed() {
    let cluster = Cluster::start(Plan {
        services_per_zone: 2,
        ..service_plan()
    })
    .await;
    let (_, leaving) = cluster.services.iter().next().expect("a service");
    leaving.update_faults(|faults| faults.is_leaving = true);
    for _ in 0..20 {
        let answer = cluster.call(0, "/bill", &[]).await.expect("an answer");
        assert_that!(answer.outcome(), eq("answered"));
    }
    assert_that!(cluster.calls("/bill"), eq(20));
    let dump = cluster.dump(0, "watch").await;
    assert_that!(dump["leaving"].as_array().map(Vec::len), some(eq(1)));
}

/// Symptom: answers were cut off when a node was shut down.
/// Sequence: twenty streams run; the node is told to end.
/// Cause: the process ended with its listeners; it has to wait for the last answer.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_cuts_no_answer() {
    let mut cluster = Cluster::start_bare(&Plan {
        engines_per_zone: 0,
        ..Plan::default()
    })
    .await;
    for index in 0..2 {
        let name = format!("slow-{index}");
        let mut settings = briarswitch_standins::EngineSettings::quick(&name);
        settings.token_time = Duration::from_millis(20);
        cluster.add_engine("kakkanad", "kakkanad-fabric", settings);
    }
    let cluster = cluster.configured(&Plan::default()).await;
    cluster.wait_routable(1).await;
    let headers = [("authorization", "Bearer kayal-key")];
    let body = chat_body(60, true);
    let mut streams = Vec::new();
    for _ in 0..20 {
        let path = "/v1/chat/completions";
        let begun = cluster
            .begin(&cluster.callers(0), "POST", path, &headers, &body)
            .await;
        streams.push(begun.expect("a head"));
    }
    cluster.nodes[0].signal(Signal::SIGTERM);
    cluster
        .wait("the balancer's check fails", async |cluster| {
            !cluster.is_ready(0).await
        })
        .await;
    let ends = futures_join(
        streams
            .into_iter()
            .map(|(head, body)| finish(head, body))
            .collect(),
    )
    .await;

    for answer in &ends {
        assert_that!(answer.events(), len(eq(60)));
        assert_that!(answer.has_end_mark() && answer.is_whole, eq(true));
    }
    let mut cluster = cluster;
    let node = &mut cluster.nodes[0];
    let start = std::time::Instant::now();
    while !node.has_ended() {
        assert_that!(start.elapsed(), lt(support::LIMIT));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let usage = cluster.platform.rows("usage/");
    let tokens: u64 = usage
        .iter()
        .flat_map(|row| row.value["rows"].as_array().cloned().unwrap_or_default())
        .filter_map(|row| row["tokens"].as_u64())
        .sum();
    assert_that!(tokens, eq(20 * 60));
}

/// Every malformed request gets its documented error, and the node goes on serving.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_get_their_errors() {
    let cluster = Cluster::start(Plan {
        settings: vec![
            "requests.body_bytes=2000".to_owned(),
            "requests.json_depth=8".to_owned(),
        ],
        ..Plan::default()
    })
    .await;
    let chat = "/v1/chat/completions";
    let good = chat_body(2, false);
    let deep = format!("{}{}", "[".repeat(50), "]".repeat(50));
    let large = "x".repeat(3000);
    let key = ("authorization", "Bearer kayal-key");
    let unknown_model = good.replace(MODEL, "no-such-model");
    type Case<'a> = (
        &'a str,
        &'a str,
        Vec<(&'a str, &'a str)>,
        &'a str,
        u16,
        &'a str,
    );
    let long = "k".repeat(200);
    let cases: Vec<Case<'_>> = vec![
        ("POST", chat, vec![], &good, 401, "unknown_key"),
        (
            "POST",
            chat,
            vec![("authorization", "Bearer other")],
            &good,
            401,
            "unknown_key",
        ),
        (
            "POST",
            chat,
            vec![("authorization", "Basic a2V5")],
            &good,
            401,
            "unknown_key",
        ),
        ("POST", chat, vec![key], "{not json", 400, "bad_json"),
        ("POST", chat, vec![key], "[]", 400, "bad_json"),
        ("POST", chat, vec![key], "", 400, "bad_json"),
        ("POST", chat, vec![key], "{\"model\": 7}", 400, "bad_json"),
        ("POST", chat, vec![key], &deep, 400, "too_deep"),
        ("POST", chat, vec![key], &large, 413, "body_too_large"),
        ("GET", chat, vec![key], "", 405, "method"),
        ("POST", "/v2/other", vec![key], &good, 404, "unknown_path"),
        ("POST", chat, vec![key], &unknown_model, 404, "no_rule"),
        (
            "POST",
            chat,
            vec![key, ("x-deadline-ms", "soon")],
            &good,
            400,
            "bad_deadline",
        ),
        (
            "POST",
            chat,
            vec![key, ("x-deadline-ms", "0")],
            &good,
            400,
            "bad_deadline",
        ),
        (
            "POST",
            chat,
            vec![key, ("x-repeatable", "maybe")],
            &good,
            400,
            "bad_repeatable",
        ),
        (
            "POST",
            chat,
            vec![key, ("idempotency-key", "a/b")],
            &good,
            400,
            "bad_key",
        ),
        (
            "POST",
            chat,
            vec![key, ("idempotency-key", &long)],
            &good,
            400,
            "bad_key",
        ),
    ];
    let many: Vec<(String, String)> = (0..120)
        .map(|index| (format!("x-h{index}"), "v".to_owned()))
        .collect();
    let wide = "w".repeat(20_000);
    let mut cases = cases;
    let mut crowd = vec![key];
    crowd.extend(
        many.iter()
            .map(|(name, value)| (name.as_str(), value.as_str())),
    );
    cases.push(("POST", chat, crowd, &good, 431, "headers_too_large"));
    cases.push((
        "POST",
        chat,
        vec![key, ("x-wide", &wide)],
        &good,
        431,
        "headers_too_large",
    ));
    for (method, path, headers, body, status, code) in cases {
        let address = cluster.callers(0);
        let answer = cluster.send(&address, method, path, &headers, body).await;
        let answer = answer.expect("an answer");
        assert_that!(
            (answer.status, answer.code()),
            eq(&(status, code.to_owned()))
        );
        assert_that!(answer.outcome(), eq("not_run"));
    }
    assert_that!(cluster.executions(), eq(0));
    let answer = cluster.chat(0, 2, false).await.expect("an answer");
    assert_that!(answer.outcome(), eq("answered"));
}

/// What is no HTTP at all, or breaks off, costs its connection and nothing more.
#[tokio::test(flavor = "multi_thread")]
async fn broken_http_costs_only_its_connection() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    let cluster = Cluster::start(Plan::default()).await;
    let head =
        "POST /v1/chat/completions HTTP/1.1\r\nhost: n\r\nauthorization: Bearer kayal-key\r\n";
    let texts = [
        "\0\0\0 no http\r\n\r\n".to_owned(),
        "GET / HTTP/9.9\r\n\r\n".to_owned(),
        format!("{head}content-length: -1\r\n\r\n"),
        format!("{head}content-length: 5\r\ncontent-length: 7\r\n\r\nhello"),
        format!("{head}transfer-encoding: chunked\r\n\r\nzz\r\nhello"),
        format!("{head}content-length: 500\r\n\r\n{{\"model\""),
        format!("{head}{}\r\n\r\n", "x: y\r\n".repeat(400)),
    ];
    for text in texts {
        let stream = tokio::net::TcpStream::connect(cluster.callers(0)).await;
        let mut stream = stream.expect("a connection");
        let _ = stream.write_all(text.as_bytes()).await;
        let _ = stream.shutdown().await;
        let mut answer = Vec::new();
        let reading = stream.read_to_end(&mut answer);
        let _ = tokio::time::timeout(support::LIMIT, reading)
            .await
            .expect("the node lets go");
        assert_that!(
            String::from_utf8_lossy(&answer),
            not(contains_substring("200 OK"))
        );
    }
    assert_that!(cluster.executions(), eq(0));
    let answer = cluster.chat(0, 2, false).await.expect("an answer");
    assert_that!(answer.outcome(), eq("answered"));
}

/// Symptom: a request that could not be served was held until its deadline.
/// Sequence: every group is gone; a request with a long deadline arrives.
/// Cause: it waited for a target to appear; it is refused at once and told when to come back.
#[tokio::test(flavor = "multi_thread")]
async fn hopeless_request_is_refused_at_once() {
    let mut cluster = Cluster::start(Plan::default()).await;
    for engine in cluster.engines.values_mut() {
        engine.kill();
    }
    cluster
        .wait("the group is out", async |cluster| {
            cluster.routable(0).await == 0
        })
        .await;
    let headers = [("x-deadline-ms", "600000")];
    let answer = cluster.chat_with(0, 2, false, &headers).await;
    let answer = answer.expect("an answer within the test's limit");

    assert_that!(answer.status, eq(503));
    assert_that!(answer.outcome(), eq("not_run"));
    assert_that!(answer.headers.contains_key("retry-after"), eq(true));
}

fn word_of(event: &str) -> String {
    let event: serde_json::Value = serde_json::from_str(event).unwrap_or_default();
    let word = event["choices"][0]["delta"]["content"].as_str();
    word.unwrap_or_default().to_owned()
}

fn count(answers: &[Option<Answer>], outcome: &str) -> usize {
    let answers = answers.iter().flatten();
    answers.filter(|answer| answer.outcome() == outcome).count()
}

async fn futures_join<F: std::future::Future>(work: Vec<F>) -> Vec<F::Output> {
    futures::future::join_all(work).await
}
