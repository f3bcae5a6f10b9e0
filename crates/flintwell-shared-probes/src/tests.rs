use super::*;

const FLEET: u32 = 24;

/// Simulates a fleet in which node `x` is silent to member `n` in round `r` if `is_silent(n, r)`; returns the
/// members that probe it in each round.
fn simulate(is_silent: impl Fn(u32, u64) -> bool, rounds: u64) -> Vec<Vec<u32>> {
    let mut fleet: Vec<ProbeCoordinator> =
        (0..FLEET).map(|n| ProbeCoordinator::new(n, u64::from(n))).collect();
    let mut probers = Vec::new();
    let mut skip_until = [0u64; FLEET as usize];
    for round in 0..rounds {
        let now = round * 250;
        let mut sent = Vec::new();
        let mut probing = Vec::new();
        for n in 0..FLEET {
            let peers: Vec<u32> = (0..FLEET).filter(|&other| other != n).collect();
            let silent: &[&str] = if is_silent(n, round) { &["x"] } else { &[] };
            let (hints, messages) = fleet[n as usize].run_round(now, silent, &peers);
            for (_, hint) in hints {
                skip_until[n as usize] = match hint {
                    ProbeHint::SkipFor(ms) => now + ms,
                    ProbeHint::ProbeNow => now,
                };
            }
            if !silent.is_empty() && now >= skip_until[n as usize] {
                probing.push(n);
            }
            sent.extend(messages.into_iter().map(|(to, message)| (n, to, message)));
        }
        for (from, to, message) in sent {
            let message = ProbeMessage::decode(&message.encode()).expect("valid message");
            fleet[to as usize].handle_message(now, from, &message);
        }
        probers.push(probing);
    }
    probers
}

#[test]
fn only_a_few_members_go_on_probing_a_node_that_is_silent_to_all() {
    let probers = simulate(|_, _| true, 40);
    assert_eq!(probers[0].len(), FLEET as usize, "no reports have arrived yet");
    let later: Vec<usize> = probers[20..].iter().map(Vec::len).collect();
    assert!(later.iter().all(|&probing| (PROBERS..=PROBERS + 2).contains(&probing)), "{later:?}");
}

#[test]
fn an_answer_to_one_prober_makes_the_others_probe_within_two_seconds() {
    // One prober gets answers from round 20 on; members that receive its report probe in their next round.
    let first = simulate(|_, _| true, 30)[29][0];
    let probers = simulate(|n, round| n != first || round < 20, 40);
    let probed: std::collections::BTreeSet<u32> = probers[20..28].iter().flatten().copied().collect();
    assert!(probed.len() >= 8, "members that received its report probe within two seconds: {probed:?}");
}

#[test]
fn two_false_reports_keep_no_member_from_probing_a_node() {
    // The node is silent to three members, each of which has two reports from the others: too few for the
    // quorum. All other members ignore the reports.
    let probers = simulate(|n, _| n < 3, 40);
    assert!(probers.iter().all(|probing| probing.len() == 3), "{probers:?}");
    for wrong in [&b""[..], b"P", b"Pxxxxxxxxxxxxxxxxxxxxx", &[MESSAGE_TAG; 250], b"Q12"] {
        assert!(ProbeMessage::decode(wrong).is_none(), "{wrong:?}");
    }
}
