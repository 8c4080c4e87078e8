use crate::core_node::CoreNode;
use crate::faults::Fault;
use crate::front_node::FrontNode;
use crate::net::{Event, ScheduledEvent};
use crate::platform::LIST_LAG_MS;
use crate::world::World;
use journal::FaultKind;
use rand::Rng;

impl World {
    /// Brings a failure about.
    pub(crate) fn fault(&mut self, fault: Fault) {
        let now = self.net.now;
        match fault {
            Fault::Kill(name, lasts) => {
                let is_up = self
                    .incarnations
                    .get(&name)
                    .is_some_and(|incarnation| incarnation.is_up);
                if let Some(incarnation) = self.incarnations.get_mut(&name).filter(|_| is_up) {
                    incarnation.is_up = false;
                    let back = ScheduledEvent::Fault(Fault::Kill(name, 0));
                    self.net.at(now + lasts, back);
                } else if lasts == 0 {
                    self.come_back(&name);
                }
            }
            Fault::KillScaler(lasts) => {
                let holds = |core: &&CoreNode| {
                    let local = self.clocks[&core.peer.name].now(now);
                    core.scaler_role.term(local).is_some()
                };
                let holder = self.cores.values().find(holds);
                if let Some(name) = holder.map(|core| core.peer.name.clone()) {
                    self.oracle.count_case("duty killed");
                    self.fault(Fault::Kill(name, lasts));
                }
            }
            Fault::Freeze(name, lasts) => {
                if let Some(incarnation) = self.incarnations.get_mut(&name) {
                    incarnation.frozen_until = incarnation.frozen_until.max(now + lasts);
                }
            }
            Fault::PowerLoss(name, lasts) => {
                let torn = self.net.random.random_range(0..40);
                let folder = self.cores[&name].folder.clone();
                folder.inject(FaultKind::PowerLoss(0));
                folder.inject(FaultKind::Torn(torn));
                self.fault(Fault::Kill(name, lasts));
            }
            Fault::FullDisk(name, 0) => {
                self.cores[&name].folder.inject(FaultKind::SpaceFreed);
                self.fault(Fault::Kill(name, 1));
            }
            Fault::FullDisk(name, lasts) => {
                self.cores[&name].folder.inject(FaultKind::Full);
                let room = ScheduledEvent::Fault(Fault::FullDisk(name, 0));
                self.net.at(now + lasts, room);
            }
            Fault::StallDisk(name, lasts) => {
                if let Some(incarnation) = self.incarnations.get_mut(&name) {
                    incarnation.stalled_until = now + lasts;
                }
            }
            Fault::EmptyDisk(name, lasts) => {
                let disk = self.net.random.random_range(100..u64::MAX);
                if let Some(core) = self.cores.get_mut(&name) {
                    core.folder.wipe();
                    core.disk = disk;
                }
                self.fault(Fault::Kill(name, lasts));
            }
            Fault::CutOneWay(from, to) => {
                self.net.cuts.insert((from, to));
            }
            Fault::CutOff(name) => {
                for other in self.incarnations.keys() {
                    self.net.cuts.insert((name.clone(), other.clone()));
                    self.net.cuts.insert((other.clone(), name.clone()));
                }
            }
            Fault::Heal => self.net.cuts.clear(),
            Fault::CrashWorker(worker) => self.platform.crash(&worker, true),
            Fault::ReturnWorker(worker) => self.platform.crash(&worker, false),
            Fault::LeaveWorker(worker) => {
                self.platform.leave(&worker, true);
                self.oracle.set_leaving(&worker, Some(now + LIST_LAG_MS));
            }
            Fault::StayWorker(worker) => {
                self.platform.leave(&worker, false);
                self.oracle.set_leaving(&worker, None);
            }
            Fault::Replace(number) => self.platform.replace(now, number),
            Fault::SlowWorker(worker, times) => {
                self.platform.slowness.insert(worker, times);
            }
            Fault::JumpWall(name, jump) => {
                if let Some(clock) = self.clocks.get_mut(&name) {
                    clock.wall_jump = jump;
                }
            }
            Fault::Wipe(lasts) => {
                self.oracle.on_wipe();
                for name in self.cores.keys().cloned().collect::<Vec<_>>() {
                    self.fault(Fault::EmptyDisk(name, lasts));
                }
            }
            Fault::PendingPut(core) => {
                self.net.event(now, &core, 0, Event::PendingPut);
            }
        }
    }

    fn come_back(&mut self, name: &str) {
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
