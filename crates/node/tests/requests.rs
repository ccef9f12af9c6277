//! Replies to callers, with a real failure caused at each failure point.

mod support;

use std::time::Duration;

use briarswitch_http::BodyPart;
use briarswitch_standins::PlainStandin;
use googletest::prelude::*;
use nix::sys::signal::Signal;
use support::{chat_body, read_response, Cluster, ClusterSpec, TestResponse, MODEL, SERVICE};

fn service_plan() -> ClusterSpec {
    ClusterSpec {
        engines_per_zone: 0,
        services_per_zone: 1,
        ..ClusterSpec::default()
    }
}

fn only_service(cluster: &Cluster) -> &PlainStandin {
    cluster.services.values().next().expect("a service")
}

/// A chat response arrives complete, streamed or not.
#[tokio::test(flavor = "multi_thread")]
async fn answers_are_whole() {
    let cluster = Cluster::start(ClusterSpec::default()).await;

    let complete = cluster.chat(0, 5, false).await.expect("an answer");
    assert_that!(complete.body, contains_substring("w0 w1 w2 w3 w4 "));
    assert_that!(complete.outcome(), eq("answered"));

    let streamed = cluster.chat(0, 5, true).await.expect("an answer");
    assert_that!(streamed.events(), len(eq(5)));
    assert_that!(streamed.has_done_marker() && streamed.is_complete, eq(true));
}

/// A caller was told `unknown` although nothing listened at the target: the VM of the service
/// crashed and a call arrived before the evidence for it expired. A connection that was never
/// opened has to be distinguished from one that broke.
#[tokio::test(flavor = "multi_thread")]
async fn call_to_a_dead_target_did_not_run() {
    let mut cluster = Cluster::start(service_plan()).await;
    for service in cluster.services.values_mut() {
        service.kill();
    }
    let answer = cluster
        .call_service(0, "/bill", &[])
        .await
        .expect("an answer");

    assert_that!(answer.outcome(), eq("not_run"));
    assert_that!(cluster.calls("/bill"), eq(0));
}

/// An order was billed twice: the service ran the call and closed the connection without a
/// response, and the call was sent again although it must not be repeated.
#[tokio::test(flavor = "multi_thread")]
async fn broken_call_is_not_sent_again() {
    let cluster = Cluster::start(ClusterSpec {
        services_per_zone: 2,
        ..service_plan()
    })
    .await;
    for service in cluster.services.values() {
        service.update_faults(|faults| faults.breaks = 1);
    }
    let answer = cluster
        .call_service(0, "/bill", &[])
        .await
        .expect("an answer");

    assert_that!(answer.outcome(), eq("unknown"));
    assert_that!(cluster.calls("/bill"), eq(1));
}

/// A caller waited for ever, or was told `not_run` about a call that had run, because the service
/// ran the call and sent no response. The deadline has to end the wait, with an unknown outcome.
#[tokio::test(flavor = "multi_thread")]
async fn silent_target_leaves_the_outcome_open() {
    let cluster = Cluster::start(service_plan()).await;
    only_service(&cluster).update_faults(|faults| faults.unanswered = 1);
    let headers = [("x-deadline-ms", "300")];
    let answer = cluster
        .call_service(0, "/bill", &headers)
        .await
        .expect("an answer");

    assert_that!(answer.outcome(), eq("unknown"));
    assert_that!(answer.code(), eq("answer_deadline"));
    assert_that!(cluster.calls("/bill"), eq(1));
}

/// A repeatable request is sent to another group after each kind of failure.
#[tokio::test(flavor = "multi_thread")]
async fn repeatable_request_is_tried_at_another_group() {
    let cluster = Cluster::start(ClusterSpec {
        engines_per_zone: 4,
        replicas_per_zone: 2,
        ..ClusterSpec::default()
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
        // Requests go to either group. The leader completes one only after its fault has been used.
        let before = leader.record().executions.len();
        while leader.record().executions.len() < before + 2 {
            let answer = cluster.chat(0, 3, false).await.expect("an answer");
            assert_that!(answer.outcome(), eq("answered"), "after {fault}");
            assert_that!(answer.body, contains_substring("w0 w1 w2 "));
        }
    }
}

/// The caller of a request that must not be repeated gets the correct outcome and code after each
/// kind of failure.
#[tokio::test(flavor = "multi_thread")]
async fn unrepeatable_request_is_told_the_truth() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
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

/// Tokens were missing or duplicated in a stream whose connection broke after three events: it was
/// restarted, or resumed at a wrong offset, instead of after the events already relayed. The engine
/// keeps running and can resume the stream.
#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_is_resumed_at_its_offset() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
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
    assert_that!(answer.has_done_marker() && answer.is_complete, eq(true));
}

/// A caller took a partial response for a complete one. The stream breaks and the engine no longer
/// has it, or ends without the end marker; the node must not end it cleanly then, but with an error
/// event and a closed connection.
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_can_not_be_resumed_is_visibly_broken() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
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

fn assert_broken(answer: &TestResponse) {
    assert_that!(answer.has_done_marker(), eq(false));
    assert_that!(answer.is_complete, eq(false));
    assert_that!(answer.body, contains_substring(r#""outcome":"unknown""#));
}

/// An engine went on generating after the caller had disconnected, because the node read its stream
/// to the end. Dropping the stream closes the connection to the engine, which cancels the request.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_caller_cancels_its_stream() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    let headers = [("authorization", "Bearer kayal-key")];
    let body = chat_body(100_000, true);
    let path = "/v1/chat/completions";
    let reply = cluster
        .send_for_head(&cluster.callers(0), "POST", path, &headers, &body)
        .await;
    let (_, mut body) = reply.expect("a head");
    assert_that!(
        body.next()
            .await
            .is_ok_and(|part| matches!(part, BodyPart::Chunk(_))),
        eq(true)
    );
    drop(body);

    cluster
        .wait("the engine cancels the request", async |cluster| {
            let mut engines = cluster.engines.values();
            engines.any(|engine| engine.record().cancelled == 1)
        })
        .await;
}

/// Work under one idempotency key ran more than once when the same keys were sent repeatedly
/// through all six nodes at the same time, because each node knew only its own requests. A key is
/// claimed in the platform's table before work under it starts.
#[tokio::test(flavor = "multi_thread")]
async fn key_runs_at_most_once_through_six_nodes() {
    const KEYS: usize = 50;
    const ROUNDS: usize = 34;
    let cluster = Cluster::start(ClusterSpec {
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
                cluster
                    .call_service((index + round) % 6, "/bill", &headers)
                    .await
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

/// A billing call ran twice when its node crashed while the service was working and the caller
/// retried through another node, because the claim was kept only in the memory of the crashed node.
/// It is stored in the table.
#[tokio::test(flavor = "multi_thread")]
async fn key_survives_the_death_of_its_node() {
    let mut cluster = Cluster::start(ClusterSpec {
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
    let killing = cluster.wait("the service has received the call", async |cluster| {
        cluster.calls("/bill") == 1
    });
    tokio::select! {
        _ = first => panic!("the service must not respond"),
        () = killing => {}
    }
    cluster.nodes[0].kill();
    let again = cluster
        .call_service(1, "/bill", &[("idempotency-key", "order-1")])
        .await;
    let again = again.expect("an answer");

    assert_that!(again.outcome(), eq("unknown"));
    assert_that!(again.code(), eq("key_claimed"));
    assert_that!(cluster.calls("/bill"), eq(1));
}

/// A key could not be used again although its request was reported as `not_run`: the target was
/// down, was replaced, and the caller retried. The claim of a key under which nothing ran is
/// released.
#[tokio::test(flavor = "multi_thread")]
async fn key_of_a_call_that_did_not_run_can_be_used_again() {
    let mut cluster = Cluster::start(service_plan()).await;
    let name = cluster.services.keys().next().expect("a service").clone();
    cluster.services.get_mut(&name).expect("a service").kill();
    let headers = [("idempotency-key", "order-1")];
    let first = cluster
        .call_service(0, "/bill", &headers)
        .await
        .expect("an answer");
    assert_that!(first.outcome(), eq("not_run"));

    cluster.add_service("kakkanad", &name, 2, "127.0.0.1:0");
    cluster
        .wait("the replacement responds", async |cluster| {
            let answer = cluster.call_service(0, "/ping", &[]).await;
            answer.is_some_and(|answer| answer.status == 200)
        })
        .await;
    let second = cluster
        .call_service(0, "/bill", &headers)
        .await
        .expect("an answer");
    assert_that!(second.outcome(), eq("answered"));
    assert_that!(cluster.calls("/bill"), eq(1));
}

/// A call was sent on an idle connection to a VM that had been replaced at the same address,
/// because idle connections were kept by address alone. They are kept by address and incarnation.
/// Only repeatable calls reuse connections.
#[tokio::test(flavor = "multi_thread")]
async fn kept_connections_die_with_the_machine() {
    let mut cluster = Cluster::start(service_plan()).await;
    let name = cluster.services.keys().next().expect("a service").clone();
    let address = cluster.services[&name].address().to_string();
    let headers = [("x-repeatable", "true")];
    for _ in 0..5 {
        let answer = cluster
            .call_service(0, "/look", &headers)
            .await
            .expect("an answer");
        assert_that!(answer.outcome(), eq("answered"));
    }
    cluster.services.get_mut(&name).expect("a service").kill();
    cluster.add_service("kakkanad", &name, 2, &address);
    // Until the platform lists the new incarnation, calls are refused as not run and must not run.
    for _ in 0..5 {
        cluster
            .wait("the new incarnation responds", async |cluster| {
                let answer = cluster
                    .call_service(0, "/look", &headers)
                    .await
                    .expect("an answer");
                let outcome = answer.outcome();
                assert_that!(outcome, any!(eq("answered"), eq("not_run")));
                outcome == "answered"
            })
            .await;
    }
    assert_that!(cluster.calls("/look"), eq(5));
}

/// During an outage of the platform, billing ran twice or stopped altogether. Keyed calls can not
/// be claimed then and are refused as `not_run`. Calls without a key do not need the table and
/// continue, each sent at most once.
#[tokio::test(flavor = "multi_thread")]
async fn platform_outage_refuses_keys_honestly() {
    let cluster = Cluster::start(service_plan()).await;
    cluster
        .platform
        .update_faults(|faults| faults.is_down = true);

    let headers = [("idempotency-key", "order-1")];
    let keyed = cluster
        .call_service(0, "/bill", &headers)
        .await
        .expect("an answer");
    assert_that!(keyed.outcome(), eq("not_run"));
    assert_that!(keyed.code(), eq("claim_store"));
    assert_that!(keyed.headers.contains_key("retry-after"), eq(true));
    assert_that!(cluster.calls("/bill"), eq(0));

    let unkeyed = cluster
        .call_service(0, "/bill", &[])
        .await
        .expect("an answer");
    assert_that!(unkeyed.outcome(), eq("answered"));
    assert_that!(cluster.calls("/bill"), eq(1));
}

/// A call ran twice because the claim of its key took effect but the response to it was lost, and
/// the claim was then taken for another one or written again. It is read back and recognised by its
/// id.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_to_a_claim_is_read_back() {
    let cluster = Cluster::start(service_plan()).await;
    cluster
        .platform
        .update_faults(|faults| faults.lose_answers = 1);
    let mut outcomes = Vec::new();
    for _ in 0..3 {
        let headers = [("idempotency-key", "order-1")];
        let answer = cluster
            .call_service(0, "/bill", &headers)
            .await
            .expect("an answer");
        outcomes.push(answer.outcome());
    }

    assert_that!(cluster.calls("/bill"), eq(1));
    assert_that!(outcomes[0], eq("answered"));
    assert_that!(outcomes[1..], each(eq("unknown")));
}

/// A leaving VM still got new requests: the platform marked one of two VMs as leaving, and a stale
/// list showed it as live again. The leaving state holds for the rest of the VM's incarnation.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_target_gets_nothing_new() {
    let cluster = Cluster::start(ClusterSpec {
        services_per_zone: 2,
        ..service_plan()
    })
    .await;
    let (name, leaving) = cluster.services.iter().next().expect("a service");
    cluster.platform.mark_leaving(name);
    cluster
        .wait("the VM is known to be leaving", async |cluster| {
            let dump = cluster.dump(0, "watch").await;
            dump["leaving"].as_array().is_some_and(|vms| vms.len() == 1)
        })
        .await;
    let before = leaving.calls().len();
    for _ in 0..40 {
        let answer = cluster
            .call_service(0, "/bill", &[])
            .await
            .expect("an answer");
        assert_that!(answer.outcome(), eq("answered"));
    }
    assert_that!(leaving.calls(), len(eq(before)));
}

/// Requests were still sent to a target that had refused a call as not run and had declared that it
/// was leaving, because only the platform's list was used. The target's own declaration counts too.
#[tokio::test(flavor = "multi_thread")]
async fn target_that_says_it_leaves_is_believed() {
    let cluster = Cluster::start(ClusterSpec {
        services_per_zone: 2,
        ..service_plan()
    })
    .await;
    let (_, leaving) = cluster.services.iter().next().expect("a service");
    leaving.update_faults(|faults| faults.is_leaving = true);
    for _ in 0..20 {
        let answer = cluster
            .call_service(0, "/bill", &[])
            .await
            .expect("an answer");
        assert_that!(answer.outcome(), eq("answered"));
    }
    assert_that!(cluster.calls("/bill"), eq(20));
    let dump = cluster.dump(0, "watch").await;
    assert_that!(dump["leaving"].as_array().map(Vec::len), some(eq(1)));
}

/// Responses were truncated when a node was shut down during twenty streams, because the process
/// exited as soon as its listeners were closed. It has to wait for the last response.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_cuts_no_answer() {
    let mut cluster = Cluster::start_unconfigured(&ClusterSpec {
        engines_per_zone: 0,
        ..ClusterSpec::default()
    })
    .await;
    for index in 0..2 {
        let name = format!("slow-{index}");
        let mut settings = briarswitch_standins::EngineSettings::quick(&name);
        settings.token_time = Duration::from_millis(20);
        cluster.add_engine("kakkanad", "kakkanad-fabric", settings);
    }
    let cluster = cluster.configured(&ClusterSpec::default()).await;
    cluster.wait_routable(1).await;
    let headers = [("authorization", "Bearer kayal-key")];
    let body = chat_body(60, true);
    let mut streams = Vec::new();
    for _ in 0..20 {
        let path = "/v1/chat/completions";
        let begun = cluster
            .send_for_head(&cluster.callers(0), "POST", path, &headers, &body)
            .await;
        streams.push(begun.expect("a head"));
    }
    cluster.nodes[0].signal(Signal::SIGTERM);
    cluster
        .wait("the readiness check fails", async |cluster| {
            !cluster.is_ready(0).await
        })
        .await;
    let ends = futures_join(
        streams
            .into_iter()
            .map(|(head, body)| read_response(head, body))
            .collect(),
    )
    .await;

    for answer in &ends {
        assert_that!(answer.events(), len(eq(60)));
        assert_that!(answer.has_done_marker() && answer.is_complete, eq(true));
    }
    let mut cluster = cluster;
    let node = &mut cluster.nodes[0];
    let start = std::time::Instant::now();
    while !node.has_exited() {
        assert_that!(start.elapsed(), lt(support::WAIT_TIMEOUT));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_that!(metered_tokens(&cluster), eq(20 * 60));
}

/// Returns the sum of the tokens in all usage rows of the table.
fn metered_tokens(cluster: &Cluster) -> u64 {
    let usage = cluster.platform.rows("usage/");
    usage
        .iter()
        .flat_map(|row| row.value["rows"].as_array().cloned().unwrap_or_default())
        .filter_map(|row| row["tokens"].as_u64())
        .sum()
}

/// Guards against usage that is never written because the table refuses one batch.
///
/// The table refuses the first batch for a while. Later usage is written meanwhile, and the first
/// batch once the table takes it.
#[tokio::test(flavor = "multi_thread")]
async fn refused_usage_does_not_hold_up_later_usage() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    cluster
        .platform
        .update_faults(|faults| faults.refused_keys = "/00000000".to_owned());
    let first = cluster.chat(0, 2, false).await.expect("an answer");
    assert_that!(first.status, eq(200));
    cluster
        .wait("the first batch is to be written", async |cluster| {
            cluster.dump(0, "usage").await["pending_rows"] == 1
        })
        .await;
    let second = cluster.chat(0, 3, false).await.expect("an answer");
    assert_that!(second.status, eq(200));
    cluster
        .wait("the later usage is written", async |cluster| {
            metered_tokens(cluster) == 3
        })
        .await;
    cluster
        .wait("the refusal has one line", async |cluster| {
            cluster.nodes[0].lines_of("usage_refused") == 1
        })
        .await;
    cluster
        .platform
        .update_faults(|faults| faults.refused_keys.clear());
    cluster
        .wait("the first batch is written", async |cluster| {
            metered_tokens(cluster) > 3
        })
        .await;
    assert_that!(metered_tokens(&cluster), eq(5));
}

/// Each malformed request gets its documented error, and the node continues to serve.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_get_their_errors() {
    let cluster = Cluster::start(ClusterSpec {
        settings: vec![
            "requests.body_bytes=2000".to_owned(),
            "requests.json_depth=8".to_owned(),
        ],
        ..ClusterSpec::default()
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
    let mut many_headers = vec![key];
    many_headers.extend(
        many.iter()
            .map(|(name, value)| (name.as_str(), value.as_str())),
    );
    cases.push(("POST", chat, many_headers, &good, 431, "headers_too_large"));
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

/// Invalid or truncated HTTP closes its own connection and has no other effect.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_http_closes_only_its_connection() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    let cluster = Cluster::start(ClusterSpec::default()).await;
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
        let read = stream.read_to_end(&mut answer);
        let _ = tokio::time::timeout(support::WAIT_TIMEOUT, read)
            .await
            .expect("the node closes the connection");
        assert_that!(
            String::from_utf8_lossy(&answer),
            not(contains_substring("200 OK"))
        );
    }
    assert_that!(cluster.executions(), eq(0));
    let answer = cluster.chat(0, 2, false).await.expect("an answer");
    assert_that!(answer.outcome(), eq("answered"));
}

/// A request with a long deadline was queued until the deadline although there was no group left.
/// It has to be refused immediately, with a `retry-after` header.
#[tokio::test(flavor = "multi_thread")]
async fn request_without_targets_is_refused_at_once() {
    let mut cluster = Cluster::start(ClusterSpec::default()).await;
    for engine in cluster.engines.values_mut() {
        engine.kill();
    }
    cluster
        .wait("no group is routable", async |cluster| {
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

fn count(answers: &[Option<TestResponse>], outcome: &str) -> usize {
    let answers = answers.iter().flatten();
    answers.filter(|answer| answer.outcome() == outcome).count()
}

async fn futures_join<F: std::future::Future>(work: Vec<F>) -> Vec<F::Output> {
    futures::future::join_all(work).await
}
