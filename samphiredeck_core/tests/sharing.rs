//! Admission: weighted sharing, priority classes, promotion by age, immediate refusals and retry
//! budgets.

use std::time::{Duration, Instant};

use samphiredeck_core::{
    admission::{AdmissionQueue, AdmissionRequest, RefusalReason, RequestTicket},
    declaration::PriorityClass,
    retry_budget::RetryBudgetTable,
};

fn request(
    ticket: u64,
    workspace: &str,
    weight: u32,
    class: PriorityClass,
    now: Instant,
) -> AdmissionRequest {
    AdmissionRequest {
        ticket: RequestTicket(ticket),
        workspace: workspace.parse().expect("valid name"),
        weight,
        max_in_flight: 1_000,
        class,
        model: "m".parse().expect("valid name"),
        place_by: now + Duration::from_secs(60),
        tokens: 100,
    }
}

/// Places up to `room` queued requests and returns their tickets.
fn place(queue: &mut AdmissionQueue, room: usize, now: Instant) -> Vec<u64> {
    let mut left = room;
    let placed = queue.place_waiting(now, |_| {
        left = left.checked_sub(1)?;
        Some(())
    });
    placed.into_iter().map(|(ticket, ())| ticket.0).collect()
}

#[test]
fn capacity_is_shared_by_weight() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::default();
    for ticket in 0..200 {
        let (workspace, weight) = if ticket % 2 == 0 { ("heavy", 3) } else { ("light", 1) };
        queue
            .enqueue(request(ticket, workspace, weight, PriorityClass::Prompt, now), now)
            .expect("queue has room");
    }
    let placed = place(&mut queue, 80, now);
    let heavy = placed.iter().filter(|ticket| *ticket % 2 == 0).count();
    assert!((58..=62).contains(&heavy), "{heavy} of 80 for three quarters of the weight");
}

#[test]
fn a_workspace_that_was_idle_gets_no_credit_for_it() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::default();
    for ticket in 0..100 {
        queue
            .enqueue(request(ticket, "busy", 1, PriorityClass::Prompt, now), now)
            .expect("queue has room");
    }
    place(&mut queue, 50, now);
    for ticket in 100..150 {
        queue
            .enqueue(request(ticket, "late", 1, PriorityClass::Prompt, now), now)
            .expect("queue has room");
    }
    let placed = place(&mut queue, 40, now);
    let late = placed.iter().filter(|ticket| **ticket >= 100).count();
    assert!((18..=22).contains(&late), "{late} of 40");
}

#[test]
fn urgent_requests_go_first_and_patient_ones_are_promoted_by_age() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::default();
    for (ticket, class) in
        [(1, PriorityClass::Patient), (2, PriorityClass::Prompt), (3, PriorityClass::Urgent)]
    {
        queue.enqueue(request(ticket, "a", 1, class, now), now).expect("queue has room");
    }
    assert_eq!(place(&mut queue, 1, now), [3]);
    // After the promotion age, patient requests compete with prompt requests.
    let later = now + Duration::from_secs(25);
    queue.enqueue(request(4, "b", 1, PriorityClass::Prompt, later), later).expect("queue has room");
    queue.enqueue(request(5, "a", 1, PriorityClass::Prompt, later), later).expect("queue has room");
    let placed = place(&mut queue, 3, later);
    assert!(placed.contains(&1), "{placed:?}");
}

#[test]
fn a_request_that_would_miss_its_deadline_is_refused_on_arrival_with_a_retry_time() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::default();
    queue.enqueue(request(0, "a", 1, PriorityClass::Urgent, now), now).expect("queue has room");
    place(&mut queue, 1, now);
    queue.record_end(&"a".parse().expect("valid name"), Duration::from_secs(10));
    for ticket in 1..=5 {
        queue
            .enqueue(request(ticket, "a", 1, PriorityClass::Urgent, now), now)
            .expect("queue has room");
    }
    let mut short_deadline = request(9, "a", 1, PriorityClass::Urgent, now);
    short_deadline.place_by = now + Duration::from_secs(1);
    let refusal = queue
        .enqueue(short_deadline, now)
        .expect_err("five requests of ten seconds each are ahead");
    assert_eq!(refusal.reason, RefusalReason::DeadlineInfeasible);
    assert!((40..=60).contains(&refusal.retry_after.as_secs()), "{refusal:?}");
}

#[test]
fn a_queued_request_is_refused_at_its_deadline() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::default();
    let mut short_deadline = request(1, "a", 1, PriorityClass::Urgent, now);
    short_deadline.place_by = now + Duration::from_millis(300);
    queue.enqueue(short_deadline, now).expect("queue has room");
    assert!(queue.expire(now + Duration::from_millis(299)).is_empty());
    let expired = queue.expire(now + Duration::from_millis(300));
    assert_eq!(expired.len(), 1);
    assert!(queue.is_empty());
}

#[test]
fn a_workspace_is_held_to_its_limit_but_requeued_requests_are_not_refused() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::default();
    for ticket in 0..3 {
        let mut limited = request(ticket, "a", 1, PriorityClass::Prompt, now);
        limited.max_in_flight = 2;
        let offered = queue.enqueue(limited.clone(), now);
        assert_eq!(offered.is_ok(), ticket < 2, "{ticket}");
        if let Err(refusal) = offered {
            assert_eq!(refusal.reason, RefusalReason::WorkspaceFull);
            queue.requeue(limited, now);
        }
    }
    assert_eq!(place(&mut queue, 9, now).len(), 3);
}

#[test]
fn a_model_without_capacity_does_not_block_another() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::default();
    queue.enqueue(request(1, "a", 1, PriorityClass::Prompt, now), now).expect("queue has room");
    let mut other = request(2, "a", 1, PriorityClass::Prompt, now);
    other.model = "n".parse().expect("valid name");
    queue.enqueue(other, now).expect("queue has room");
    let placed = queue.place_waiting(now, |request| (request.model.as_str() == "n").then_some(()));
    assert_eq!(placed.len(), 1);
    assert_eq!(placed[0].0, RequestTicket(2));
}

#[test]
fn retries_are_a_fraction_of_first_attempts() {
    let now = Instant::now();
    let mut table = RetryBudgetTable::default();
    let workspace = "a".parse().expect("valid name");
    let mut first = 0;
    while table.take(&workspace, now) {
        first += 1;
    }
    for _ in 0..1_000 {
        table.record_first_attempt(&workspace, 10, now);
    }
    let mut after = 0;
    while table.take(&workspace, now) {
        after += 1;
    }
    assert!(first <= 10 && (95..=100).contains(&after), "{first}, {after}");
    assert!(table.take(&workspace, now + Duration::from_secs(1)), "one retry is added each second");
}
