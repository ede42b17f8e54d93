//! What goes wrong.

use super::*;

impl World {
    pub fn trouble(&mut self) {
        let names: Vec<String> = self.vms.keys().cloned().collect();
        let name = names[self.rng.random_range(0..names.len())].clone();
        let (now, lasts) = (self.now, self.rng.random_range(300..9_000));
        let kind = self.rng.random_range(0..1_000);
        let troubles = self.troubles;
        let Some(vm) = self.vms.get_mut(&name) else { return };
        let way = match kind {
            0..10 => Some(PathState::Cut),
            10..20 => Some(PathState::AnswersLost),
            20..25 => Some(PathState::Unhealthy),
            82..92 => Some(PathState::Slow),
            25..40 if troubles.late_copies => Some(PathState::Late),
            _ => None,
        };
        if let Some(way) = way {
            (vm.path, vm.path_until) = (way, now + lasts);
            self.tell(|| format!("the way to {name} is {way:?} for {lasts}"));
            return;
        }
        match kind {
            40..44 => self.crash(&name),
            // Many at once.
            92..94 if troubles.ids_are_kept => names.iter().for_each(|name| self.crash(name)),
            44..48 => self.replace_owner(),
            48..56 if troubles.owners_end => self.end_owner(),
            56..62 if troubles.listing_lapses => {
                (vm.listed, vm.listed_again_at) = (false, now + lasts);
                self.tell(|| format!("{name} is not listed for {lasts}"));
                self.list_vms();
            }
            62..72 if troubles.rooms_shrink => {
                let cpu = if vm.room.cpu == 4_000 { 2_000 } else { 4_000 };
                vm.room.cpu = cpu;
                self.tell(|| format!("the room of {name} is {cpu}"));
                self.list_vms();
            }
            72..82 if troubles.room_is_guarded => {
                let cpu = if vm.actual_room.cpu == 4_000 { 1_000 } else { 4_000 };
                vm.actual_room.cpu = cpu;
                self.tell(|| format!("{name} has {cpu}, whatever it tells"));
            }
            _ => (),
        }
    }

    pub(super) fn crash(&mut self, name: &str) {
        let id = self.vms[name].id.clone();
        if self.vms[name].down_until.is_some() {
            return;
        }
        self.runs.note_death(&id);
        if !self.troubles.ids_are_kept {
            self.tell(|| format!("{name} crashes"));
            self.begin_life(name);
            return;
        }
        // Questions that wait there, and orders that it has and not carried out, go with it.
        self.messages.retain(|m| m.vm.id() != id.id() || !m.at_vm && m.waits_until.is_none());
        let most = if self.rng.random_bool(0.7) { 500 } else { 8_000 };
        let away = self.rng.random_range(50..most);
        self.tell(|| format!("{name} crashes and is away for {away}"));
        if let Some(vm) = self.vms.get_mut(name) {
            vm.runs.clear();
            vm.down_until = Some(self.now + away);
        }
    }

    /// Starts a VM again that has crashed, when it is time to.
    pub(super) fn start_again(&mut self, name: &str) {
        if self.vms[name].down_until.is_some_and(|at| at <= self.now) {
            self.begin_life(name);
        }
    }

    fn begin_life(&mut self, name: &str) {
        let (life, way) = (self.vms[name].incarnation + 1, self.vms[name].path);
        let mut vm = self.new_vm(name, life);
        if self.troubles.ids_are_kept {
            // A way that is cut stays so.
            (vm.path, vm.path_until) = (way, self.vms[name].path_until);
        }
        self.tell(|| format!("{name} starts as {}", vm.id));
        self.vms.insert(name.to_owned(), vm);
        self.list_vms();
    }

    /// From here on VMs have all their room.
    pub fn calm_down(&mut self) {
        for vm in self.vms.values_mut() {
            (vm.room, vm.actual_room) = (room(), room());
        }
        self.list_vms();
    }
}
