use super::*;

const FLEET: u32 = 24;

/// A fleet in which these find `x` silent from some time to another; who tries it in each round.
fn play(finds: impl Fn(u32, u64) -> bool, rounds: u64) -> Vec<Vec<u32>> {
    let mut fleet: Vec<Probes> = (0..FLEET).map(|n| Probes::new(n, u64::from(n))).collect();
    let mut tries = Vec::new();
    let mut left_until = [0u64; FLEET as usize];
    for round in 0..rounds {
        let now = round * 250;
        let mut posted = Vec::new();
        let mut trying = Vec::new();
        for n in 0..FLEET {
            let others: Vec<u32> = (0..FLEET).filter(|&other| other != n).collect();
            let silent: &[&str] = if finds(n, round) { &["x"] } else { &[] };
            let (hints, words) = fleet[n as usize].round(now, silent, &others);
            for (_, hint) in hints {
                left_until[n as usize] = match hint {
                    Hint::Leave(ms) => now + ms,
                    Hint::Try => now,
                };
            }
            if !silent.is_empty() && now >= left_until[n as usize] {
                trying.push(n);
            }
            posted.extend(words.into_iter().map(|(to, word)| (n, to, word)));
        }
        for (from, to, word) in posted {
            let word = Word::decode(&word.encode()).expect("a word");
            fleet[to as usize].hears(now, from, &word);
        }
        tries.push(trying);
    }
    tries
}

#[test]
fn of_a_fleet_that_finds_a_node_silent_a_few_go_on_trying() {
    let tries = play(|_, _| true, 40);
    assert_eq!(tries[0].len(), FLEET as usize, "nobody knows anything yet");
    let later: Vec<usize> = tries[20..].iter().map(Vec::len).collect();
    assert!(later.iter().all(|&trying| (PROBERS..=PROBERS + 2).contains(&trying)), "{later:?}");
}

#[test]
fn one_that_had_an_answer_brings_all_back_within_seconds() {
    // One prober hears it from the twentieth round on, and who is told finds out a round after its try.
    let first = play(|_, _| true, 30)[29][0];
    let tries = play(|n, round| n != first || round < 20, 40);
    let tried: std::collections::BTreeSet<u32> = tries[20..28].iter().flatten().copied().collect();
    assert!(tried.len() >= 8, "those it told try within two seconds: {tried:?}");
}

#[test]
fn two_that_lie_keep_nobody_from_a_node() {
    // To those who find it silent by themselves two more say so: under a quorum; to all others nothing is said at all.
    let tries = play(|n, _| n < 3, 40);
    assert!(tries.iter().all(|trying| trying.len() == 3), "{tries:?}");
    for wrong in [&b""[..], b"P", b"Pxxxxxxxxxxxxxxxxxxxxx", &[MARK; 250], b"Q12"] {
        assert!(Word::decode(wrong).is_none(), "{wrong:?}");
    }
}
