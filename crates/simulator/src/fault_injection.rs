use crate::core_node::CoreNode;
use crate::faults::Fault;
use crate::front_node::FrontNode;
use crate::net::{Event, ScheduledEvent};
use crate::platform::LIST_LAG_MS;
use crate::world::World;
use journal::FaultKind;
use rand::Rng;

impl World {
    /// Starts or ends a fault.
    pub(crate) fn inject_fault(&mut self, fault: Fault) {
        let now = self.net.now;
        match fault {
            Fault::Kill(name, duration_ms) => {
                let is_up = self.running_nodes.get(&name).is_some_and(|node| node.is_up);
                if let Some(node) = self.running_nodes.get_mut(&name).filter(|_| is_up) {
                    node.is_up = false;
                    let restart = ScheduledEvent::Fault(Fault::Kill(name, 0));
                    self.net.schedule(now + duration_ms, restart);
                } else if duration_ms == 0 {
                    self.restart_node(&name);
                }
            }
            Fault::KillScaler(duration_ms) => {
                let is_scaler = |core: &&CoreNode| {
                    let local = self.clocks[&core.peer.name].now(now);
                    core.scaler_role.term(local).is_some()
                };
                let scaler = self.cores.values().find(is_scaler);
                if let Some(name) = scaler.map(|core| core.peer.name.clone()) {
                    self.oracle.count_case("duty killed");
                    self.inject_fault(Fault::Kill(name, duration_ms));
                }
            }
            Fault::Freeze(name, duration_ms) => {
                if let Some(node) = self.running_nodes.get_mut(&name) {
                    node.frozen_until = node.frozen_until.max(now + duration_ms);
                }
            }
            Fault::PowerLoss(name, duration_ms) => {
                let torn_bytes = self.net.random.random_range(0..40);
                let folder = self.cores[&name].folder.clone();
                folder.inject(FaultKind::PowerLoss(0));
                folder.inject(FaultKind::Torn(torn_bytes));
                self.inject_fault(Fault::Kill(name, duration_ms));
            }
            Fault::FullDisk(name, 0) => {
                self.cores[&name].folder.inject(FaultKind::SpaceFreed);
                self.inject_fault(Fault::Kill(name, 1));
            }
            Fault::FullDisk(name, duration_ms) => {
                self.cores[&name].folder.inject(FaultKind::Full);
                let space_freed = ScheduledEvent::Fault(Fault::FullDisk(name, 0));
                self.net.schedule(now + duration_ms, space_freed);
            }
            Fault::StallDisk(name, duration_ms) => {
                if let Some(node) = self.running_nodes.get_mut(&name) {
                    node.stalled_until = now + duration_ms;
                }
            }
            Fault::EmptyDisk(name, duration_ms) => {
                let disk = self.net.random.random_range(100..u64::MAX);
                if let Some(core) = self.cores.get_mut(&name) {
                    core.folder.wipe();
                    core.disk = disk;
                }
                self.inject_fault(Fault::Kill(name, duration_ms));
            }
            Fault::CutOneWay(from, to) => {
                self.net.blocked_links.insert((from, to));
            }
            Fault::CutOff(name) => {
                for other in self.running_nodes.keys() {
                    self.net.blocked_links.insert((name.clone(), other.clone()));
                    self.net.blocked_links.insert((other.clone(), name.clone()));
                }
            }
            Fault::Heal => self.net.blocked_links.clear(),
            Fault::CrashWorker(worker) => self.platform.set_crashed(&worker, true),
            Fault::ReturnWorker(worker) => self.platform.set_crashed(&worker, false),
            Fault::LeaveWorker(worker) => {
                self.platform.set_leaving(&worker, true);
                self.oracle.set_leaving(&worker, Some(now + LIST_LAG_MS));
            }
            Fault::StayWorker(worker) => {
                self.platform.set_leaving(&worker, false);
                self.oracle.set_leaving(&worker, None);
            }
            Fault::Replace(number) => self.platform.replace(now, number),
            Fault::SlowWorker(worker, factor) => {
                self.platform.slowness.insert(worker, factor);
            }
            Fault::JumpWall(name, jump) => {
                if let Some(clock) = self.clocks.get_mut(&name) {
                    clock.wall_offset_ms = jump;
                }
            }
            Fault::Wipe(duration_ms) => {
                self.oracle.on_wipe();
                for name in self.cores.keys().cloned().collect::<Vec<_>>() {
                    self.inject_fault(Fault::EmptyDisk(name, duration_ms));
                }
            }
            Fault::PendingPut(core) => {
                self.net.schedule_at_node(now, &core, 0, Event::PendingPut);
            }
        }
    }

    fn restart_node(&mut self, name: &str) {
        let now = self.net.now;
        let peer = self.new_incarnation(name);
        if let Some(core) = self.cores.get_mut(name) {
            let (folder, disk, seeds) = (core.folder.clone(), core.disk, core.seeds.clone());
            let now = self.clocks[name].now(now);
            *core = CoreNode::new(peer, folder, disk, seeds, now);
        } else if let Some(front) = self.fronts.get_mut(name) {
            let (zone, cores) = (front.zone.clone(), front.cores.clone());
            *front = FrontNode::new(peer, &zone, cores);
        }
    }
}
