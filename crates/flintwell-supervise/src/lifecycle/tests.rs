use super::*;
use flintwell_rollout::member::Member;
use flintwell_rollout::wire::{EpochRequest, PROTOCOL_VERSION, StageRequest, hash};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};
use std::collections::BTreeMap;

const READY_TIMEOUT_MS: Millis = 6_000;

fn version(epoch: u64) -> Version {
    let settings = json!({"program": format!("version-{epoch}")});
    Version { epoch, hash: hash(&settings), settings }
}

/// The transition that puts a version in force.
fn change(epoch: u64) -> Box<Transition> {
    let mut member = Member::new("f", None, &version(0).settings);
    let (settings, accept) = (version(epoch).settings, |_: &Value, _: &Value| Ok(()));
    let stage = StageRequest {
        protocol: PROTOCOL_VERSION,
        fleet: "f".into(),
        epoch,
        hash: hash(&settings),
        settings: settings.clone(),
    };
    member.commit(member.stage(&stage, accept).expect("stage"));
    let apply = EpochRequest {
        protocol: PROTOCOL_VERSION,
        fleet: "f".into(),
        epoch,
        hash: hash(&settings),
        confirm_timeout_ms: 1_000,
        stage: 0,
    };
    Box::new(member.apply(0, &apply).expect("apply").expect("a change"))
}

fn process(id: u32, epoch: u64, started_at: Millis) -> Process {
    let address = SocketAddr::from(([127, 0, 0, 1], 9_600 + id as u16));
    Process { id: ProcessId(id), version: version(epoch), address, started_at, started_unix_ms: 0 }
}

/// A life cycle in which process 1 is current.
fn running() -> Lifecycle {
    let mut lifecycle = Lifecycle::new(READY_TIMEOUT_MS);
    lifecycle.add(0, process(1, 0, 0), StartPurpose::Restore);
    lifecycle.take_over(0);
    lifecycle
}

#[test]
fn process_that_is_not_ready_in_time_is_asked_to_stop_before_it_is_killed() {
    let mut lifecycle = running();
    lifecycle.add(100, process(2, 1, 100), StartPurpose::Change(change(1)));
    assert!(!lifecycle.is_start_overdue(100 + READY_TIMEOUT_MS));
    let overdue = 101 + READY_TIMEOUT_MS;
    assert!(lifecycle.is_start_overdue(overdue));
    assert!(matches!(lifecycle.give_up_start(overdue), Some(StartPurpose::Change(_))));
    assert_eq!(lifecycle.take_commands(), [Command::Terminate(ProcessId(2))]);
    lifecycle.kill_overdue(overdue + STOP_TIMEOUT_MS);
    assert_eq!(lifecycle.take_commands(), []);
    lifecycle.kill_overdue(overdue + STOP_TIMEOUT_MS + 1);
    lifecycle.kill_overdue(overdue + STOP_TIMEOUT_MS + 2);
    assert_eq!(lifecycle.take_commands(), [Command::Kill(ProcessId(2))]);
    assert!(matches!(lifecycle.on_exit(overdue + STOP_TIMEOUT_MS + 3, ProcessId(2)), Some(Exit::Stopping)));
}

#[test]
fn processes_that_stop_hold_up_no_start_and_keep_their_addresses() {
    let mut lifecycle = running();
    for id in 2..20 {
        assert!(lifecycle.can_start());
        lifecycle.add(0, process(id, 1, 0), StartPurpose::Change(change(1)));
        assert!(!lifecycle.can_start());
        lifecycle.give_up_start(0);
    }
    assert_eq!(lifecycle.held_addresses().count(), 19);
    lifecycle.on_exit(0, ProcessId(1));
    assert!(lifecycle.is_restore_due(0, &version(0)));
}

#[test]
fn restore_is_delayed_longer_with_each_failure_until_a_process_was_stable() {
    let mut lifecycle = running();
    let mut delay_after_exit = |id, now| {
        lifecycle.on_exit(now, ProcessId(id));
        lifecycle.delay_restore(now);
        let delay =
            (0..).find(|delay| lifecycle.is_restore_due(now + delay, &version(0))).expect("a restore");
        lifecycle.add(now + delay, process(id + 1, 0, now + delay), StartPurpose::Restore);
        lifecycle.take_over(now + delay);
        (delay, now + delay)
    };
    let mut now = 1;
    for (id, expected) in (1..).zip([100, 200, 400, 800, 1_600, 3_200, 6_400, 6_400]) {
        let (delay, restored_at) = delay_after_exit(id, now);
        assert_eq!(delay, expected);
        now = restored_at + 1;
    }
    assert_eq!(delay_after_exit(9, now + STABLE_RUN_TIME_MS).0, 100);
}

/// What happens to the processes.
#[derive(Clone, Debug)]
enum Event {
    Pass(Millis),
    /// A rollout starts a version.
    Change,
    /// A rollout restarts the version in force.
    Control,
    /// The process that starts is ready.
    Ready,
    /// The record of the change that is ready can't be written, or the change is reverted.
    GiveUp,
    /// One of the processes exits, by itself or since it was asked to.
    Exit(usize),
    End,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (1..20_000_u64).prop_map(Event::Pass),
        2 => Just(Event::Change),
        1 => Just(Event::Control),
        3 => Just(Event::Ready),
        1 => Just(Event::GiveUp),
        3 => any::<usize>().prop_map(Event::Exit),
        1 => Just(Event::End),
    ]
}

/// A supervisor in virtual time: what it would do, and what it has to keep.
struct Model {
    lifecycle: Lifecycle,
    now: Millis,
    next_id: u32,
    in_force: Version,
    /// Processes that run, and when each was asked to stop.
    running: BTreeMap<ProcessId, Option<Millis>>,
    is_ending: bool,
}

impl Model {
    fn new() -> Self {
        Model {
            lifecycle: Lifecycle::new(READY_TIMEOUT_MS),
            now: 0,
            next_id: 1,
            in_force: version(0),
            running: BTreeMap::new(),
            is_ending: false,
        }
    }

    fn start(&mut self, version: Version, purpose: StartPurpose) {
        let id = ProcessId(self.next_id);
        let address = SocketAddr::from(([127, 0, 0, 1], 9_600 + self.next_id as u16));
        self.next_id += 1;
        self.running.insert(id, None);
        let process = Process { id, version, address, started_at: self.now, started_unix_ms: 0 };
        self.lifecycle.add(self.now, process, purpose);
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Pass(time) => self.now += time,
            Event::Change if self.lifecycle.can_start() => {
                let epoch = u64::from(self.next_id);
                self.start(version(epoch), StartPurpose::Change(change(epoch)));
            }
            Event::Control if self.lifecycle.can_start() => {
                self.start(self.in_force.clone(), StartPurpose::Control((1, 1)));
            }
            Event::Change | Event::Control => {}
            Event::Ready => {
                if let Some(StartPurpose::Change(_)) = self.lifecycle.take_over(self.now) {
                    self.in_force = self.lifecycle.current().expect("it took over").version.clone();
                }
            }
            Event::GiveUp => drop(self.lifecycle.give_up_start(self.now)),
            Event::Exit(drawn) => self.exit(drawn),
            Event::End => {
                self.is_ending = true;
                self.lifecycle.end(self.now);
            }
        }
    }

    fn exit(&mut self, drawn: usize) {
        let ids: Vec<ProcessId> = self.running.keys().copied().collect();
        let Some(id) = ids.get(drawn % ids.len().max(1)).copied() else { return };
        let was_asked = self.running.remove(&id).expect("it runs").is_some();
        let exit = self.lifecycle.on_exit(self.now, id).expect("it is known");
        assert_eq!(matches!(exit, Exit::Stopping), was_asked);
        if matches!(exit, Exit::Current(_)) {
            self.lifecycle.delay_restore(self.now);
        }
    }

    /// What the supervisor does at each poll.
    fn poll(&mut self) {
        if self.lifecycle.is_start_overdue(self.now) {
            self.lifecycle.give_up_start(self.now);
        }
        if self.lifecycle.is_restore_due(self.now, &self.in_force) {
            self.start(self.in_force.clone(), StartPurpose::Restore);
        }
        self.lifecycle.kill_overdue(self.now);
        for command in self.lifecycle.take_commands() {
            self.run(command);
        }
    }

    fn run(&mut self, command: Command) {
        match command {
            Command::Terminate(id) => {
                let asked_at = self.running.get_mut(&id).expect("it runs");
                assert_eq!(asked_at.replace(self.now), None, "it is asked once");
            }
            Command::Kill(id) => {
                let asked_at =
                    self.running.remove(&id).expect("it runs").expect("it was asked to stop first");
                assert!(self.now - asked_at > STOP_TIMEOUT_MS, "it had its time");
                assert!(matches!(self.lifecycle.on_exit(self.now, id), Some(Exit::Stopping)));
            }
        }
    }

    fn check(&self) {
        let mut held: Vec<SocketAddr> = self.lifecycle.held_addresses().collect();
        assert_eq!(held.len(), self.running.len(), "each process that runs is known, with its address");
        held.sort();
        held.dedup();
        assert_eq!(held.len(), self.running.len(), "no two processes have one address");
        let wanted = [self.lifecycle.current(), self.lifecycle.starting().map(|starting| &starting.process)];
        let wanted: Vec<ProcessId> = wanted.into_iter().flatten().map(|process| process.id).collect();
        for (id, asked_at) in &self.running {
            assert_eq!(asked_at.is_none(), wanted.contains(id), "asked to stop once it is not wanted");
            assert!(asked_at.is_none_or(|at| self.now - at <= STOP_TIMEOUT_MS), "killed in the end");
        }
        if self.is_ending {
            assert!(wanted.is_empty());
        } else if wanted.is_empty() {
            let longest = MIN_RESTART_DELAY_MS << MAX_DELAY_DOUBLINGS;
            assert!(self.lifecycle.restart_at > self.now, "nobody serves only while a restart is delayed");
            assert!(self.lifecycle.restart_at <= self.now + longest);
        }
    }
}

/// The same orders in each run. `PROPTEST_CASES` asks for more than the usual number, `PROPTEST_RNG_SEED` for others.
fn drawn_orders() -> ProptestConfig {
    let default = ProptestConfig::default();
    let rng_seed = match default.rng_seed {
        RngSeed::Random => RngSeed::Fixed(73),
        fixed => fixed,
    };
    ProptestConfig { cases: default.cases.max(1_000), rng_seed, failure_persistence: None, ..default }
}

proptest! {
    #![proptest_config(drawn_orders())]

    /// Guards against ending a process that may have taken requests other than by a request to stop and, after its time,
    /// a kill; and against starts that wait for processes that stop.
    #[test]
    fn no_process_is_killed_before_it_had_time_to_stop(events in prop::collection::vec(event(), 1..80)) {
        let mut model = Model::new();
        model.poll();
        for event in events {
            model.apply(event);
            model.poll();
            model.check();
        }
    }
}
