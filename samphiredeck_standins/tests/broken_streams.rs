//! Engines whose streams break off, and that respond with something else when they are asked to go on.

use std::time::{Duration, Instant};

use eyre::ensure;
use futures_util::future::join_all;
use samphiredeck_standins::{
    client::ChatRequest,
    engine::{EngineFaults, WrongRest},
    fixture::{Fixture, FixtureSpec},
};

/// Number of tokens of a response.
const TOKENS: u64 = 12;
/// Maximum time for which a caller waits for a stream that breaks off once. A whole one takes under a second.
const RESUMED_WITHIN: Duration = Duration::from_secs(3);
/// Maximum time for which a caller waits for a stream that never goes on.
const FAILED_WITHIN: Duration = Duration::from_secs(10);
/// Text of errors.
const ERROR_TEXT: &str = "sick";
/// Number of wrong responses after which a run has been given up.
const WRONG_MANY: usize = 60;

/// Errors and other responses that do not go on with a stream.
fn wrong_rests() -> Vec<WrongRest> {
    let mut rests = Vec::new();
    for chunked in [false, true] {
        for status in [400, 404, 500, 503] {
            for verdict in [None, Some("not-run".to_owned())] {
                rests.push(WrongRest {
                    status,
                    content_type: "text/plain".to_owned(),
                    verdict,
                    body: format!("{ERROR_TEXT}\n\ndata: {ERROR_TEXT}\n\n"),
                    chunked,
                });
            }
        }
        let error_event = format!("event: error\ndata: {ERROR_TEXT}\n\n");
        let other_request = format!(
            "data: {{\"event\":\"token\",\"request\":\"other\",\"offset\":1,\"text\":\"{ERROR_TEXT}\"}}\n\n"
        );
        let cases = [
            ("text/event-stream", String::new()),
            ("application/json", String::new()),
            ("application/json", format!("{{\"error\":\"{ERROR_TEXT}\"}}")),
            ("text/html", format!("{ERROR_TEXT}\n\n{ERROR_TEXT}\n\n")),
            ("text/event-stream", error_event),
            ("text/event-stream", other_request),
        ];
        for (content_type, body) in cases {
            let content_type = content_type.to_owned();
            rests.push(WrongRest { status: 200, content_type, verdict: None, body, chunked });
        }
    }
    rests
}

/// How streams break off: after the first token, in the middle, and after the last token.
fn breaks() -> [EngineFaults; 3] {
    let none = EngineFaults::default;
    [
        EngineFaults { truncated: 1, truncate_after: 1, ..none() },
        EngineFaults { truncated: 1, truncate_after: TOKENS / 2, ..none() },
        EngineFaults { missing_end: 1, ..none() },
    ]
}

/// One engine alone has to go on by itself, and of two the other one may.
#[actix_web::test]
async fn stream_goes_on_after_a_response_that_is_not_its_rest() -> eyre::Result<()> {
    for engines in [1, 2] {
        let fixture = Fixture::start(&FixtureSpec { engines, ..FixtureSpec::default() }).await?;
        for (number, rest) in wrong_rests().into_iter().enumerate() {
            let faults = breaks()[number % 3].clone();
            let faults = EngineFaults { wrong_rests: vec![rest; 2], ..faults };
            for index in 0..engines {
                fixture.set_engine_faults(index, &faults).await?;
            }
            let request = ChatRequest::new(&format!("berth {engines} {number}"), TOKENS);
            let result = fixture.system.client.chat(fixture.node(number % 3), &request).await;
            ensure!(result.is_correct(&request), "{engines} engines, {faults:?}: {result:?}");
        }
    }
    Ok(())
}

#[actix_web::test]
async fn stream_that_does_not_go_on_ends_without_its_errors() -> eyre::Result<()> {
    let fixture = Fixture::start(&FixtureSpec { engines: 1, ..FixtureSpec::default() }).await?;
    let wrong_rests: Vec<_> = wrong_rests().into_iter().cycle().take(WRONG_MANY).collect();
    for (number, faults) in breaks().into_iter().enumerate() {
        let faults = EngineFaults { wrong_rests: wrong_rests.clone(), ..faults };
        fixture.set_engine_faults(0, &faults).await?;
        let request = ChatRequest::new(&format!("berth {number}"), TOKENS);
        let started = Instant::now();
        let result = fixture.system.client.chat(fixture.node(number), &request).await;
        let elapsed = started.elapsed();
        ensure!(elapsed < FAILED_WITHIN, "the caller waited for {elapsed:?}");
        let expected = request.expected_text();
        ensure!(!result.complete, "{faults:?}: {result:?}");
        ensure!(!result.text.is_empty() && expected.starts_with(&result.text), "{result:?}");
        ensure!(!result.reason.is_empty() && !result.reason.contains(ERROR_TEXT), "{result:?}");
    }
    Ok(())
}

/// More streams break off than the retry budget of a node holds, while the engine has room. Their callers
/// waited for the budget, which grows by one a second.
#[actix_web::test]
async fn broken_streams_do_not_wait_for_the_retry_budget_beside_a_free_engine() -> eyre::Result<()>
{
    let fixture = Fixture::start(&FixtureSpec { engines: 1, ..FixtureSpec::default() }).await?;
    let rest = wrong_rests().remove(0);
    for round in 0..5 {
        // Each stream breaks off once, and its first two resumptions fail.
        let streams = 4;
        let wrong_rests = vec![rest.clone(); 2 * streams];
        let truncated = u32::try_from(streams)?;
        let faults = EngineFaults { truncated, wrong_rests, ..breaks()[0].clone() };
        fixture.set_engine_faults(0, &faults).await?;
        let started = Instant::now();
        let fixture = &fixture;
        let all = (0..streams).map(|number| async move {
            let request = ChatRequest::new(&format!("berth {round} {number}"), TOKENS);
            let result = fixture.system.client.chat(fixture.node(0), &request).await;
            (request, result)
        });
        for (request, result) in join_all(all).await {
            ensure!(result.is_correct(&request), "round {round}: {result:?}");
        }
        let elapsed = started.elapsed();
        ensure!(elapsed < RESUMED_WITHIN, "round {round}: the callers waited for {elapsed:?}");
    }
    Ok(())
}
