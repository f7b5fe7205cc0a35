//! How many replicas of each model a fabric domain should have.

use std::collections::BTreeMap;

use domain::{FabricId, ModelName};

use super::cover::Cover;
use crate::route::ModelConfig;

/// Replicas wanted in each fabric domain, by model.
pub type FabricLayout = BTreeMap<FabricId, BTreeMap<ModelName, usize>>;

/// What a fabric domain has for a layout.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FabricCapacity {
    /// Its hosts.
    pub hosts: usize,
    /// Of these: hosts that hold a model in memory, by model.
    pub loaded: BTreeMap<ModelName, usize>,
}

impl FabricCapacity {
    /// Counts a host that may hold a model in memory.
    pub fn add(&mut self, loaded: Option<&ModelName>) {
        self.hosts += 1;
        let Some(model) = loaded else { return };
        if let Some(count) = self.loaded.get_mut(model) {
            *count += 1;
        } else {
            self.loaded.insert(model.clone(), 1);
        }
    }
}

/// Spreads models over fabric domains in proportion to their shares.
///
/// Models stay where hosts hold them. Beyond that the one that lacks most goes first, into a fabric
/// domain that has no replica of it, of these into the one with the most hosts left. Once a domain has
/// a replica of a model, a further one must leave a spare host for each model: a lost host is then
/// replaced within a second instead of after a load of many seconds.
///
/// Small replicas fill the gaps between large ones, never their places: a model gets hosts back from
/// one that still has as much for its share without them.
#[must_use]
pub fn compute_layout(
    rooms: &BTreeMap<FabricId, FabricCapacity>,
    models: &[ModelConfig],
) -> FabricLayout {
    let mut draft = LayoutDraft::new(rooms, models);
    draft.keep_places();
    while draft.place_next() {}
    while draft.exchange() {
        while draft.place_next() {}
    }
    draft.into_layout(rooms, models)
}

/// Room of one fabric domain.
#[derive(Debug, Clone)]
struct DomainRoom {
    left: usize,
    /// Hosts that hold a model, by its index.
    loaded: Vec<usize>,
    /// Replicas by the index of their model.
    held: Vec<usize>,
}

/// Replicas of one model given up in a domain for one of another.
#[derive(Debug, Clone, Copy)]
struct RoomExchange {
    room: usize,
    donor: usize,
    given: usize,
}

/// Domains and models by index, in the order of their names and of the configuration.
struct LayoutDraft<'a> {
    models: &'a [ModelConfig],
    rooms: Vec<DomainRoom>,
    /// Replicas placed in all domains, by model.
    placed: Vec<usize>,
}

impl<'a> LayoutDraft<'a> {
    fn new(rooms: &BTreeMap<FabricId, FabricCapacity>, models: &'a [ModelConfig]) -> Self {
        let room = |room: &FabricCapacity| {
            let loaded = |model: &ModelConfig| room.loaded.get(&model.name).copied();
            DomainRoom {
                left: room.hosts,
                loaded: models
                    .iter()
                    .map(|model| loaded(model).unwrap_or(0))
                    .collect(),
                held: vec![0; models.len()],
            }
        };
        Self {
            models,
            rooms: rooms.values().map(room).collect(),
            placed: vec![0; models.len()],
        }
    }

    fn cover(&self, model: usize, replicas: usize) -> Cover {
        Cover::of(&self.models[model], replicas)
    }

    /// Models, the one with the least for its share first, of equal ones the larger.
    fn by_lack(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.models.len()).collect();
        order.sort_by(|left, right| {
            let cover = |model: usize| self.cover(model, self.placed[model]);
            let sizes = self.models[*right].size.cmp(&self.models[*left].size);
            cover(*left).cmp(&cover(*right)).then(sizes)
        });
        order
    }

    /// Places the replicas that stand, the largest first. One that has lost up to half of its hosts
    /// counts: a spare repairs it sooner than another domain loads its model.
    fn keep_places(&mut self) {
        let mut order: Vec<usize> = (0..self.models.len()).collect();
        order.sort_by_key(|model| std::cmp::Reverse(self.models[*model].size));
        for model in order {
            let size = self.models[model].size;
            if size == 0 {
                continue;
            }
            for room in 0..self.rooms.len() {
                let standing = (self.rooms[room].loaded[model] + size / 2) / size;
                for _ in 0..standing {
                    if self.rooms[room].left < self.needed(model, room) {
                        break;
                    }
                    self.place(model, room);
                }
            }
        }
    }

    /// Places one replica more; whether there was room.
    fn place_next(&mut self) -> bool {
        for model in self.by_lack() {
            let Some(room) = self.best_room(model) else {
                continue;
            };
            self.place(model, room);
            return true;
        }
        false
    }

    fn place(&mut self, model: usize, room: usize) {
        self.rooms[room].left -= self.models[model].size;
        self.rooms[room].held[model] += 1;
        self.placed[model] += 1;
    }

    /// Hosts that a domain must have left for one replica more of a model.
    fn needed(&self, model: usize, room: usize) -> usize {
        let has_one = self.rooms[room].held[model] > 0;
        let spares = if has_one { self.models.len() } else { 0 };
        self.models[model].size + spares
    }

    /// A domain without the model goes first: the loss of one then leaves the others.
    fn best_room(&self, model: usize) -> Option<usize> {
        if self.models[model].size == 0 {
            return None;
        }
        let mut best: Option<((bool, usize), usize)> = None;
        for (index, room) in self.rooms.iter().enumerate() {
            if room.left < self.needed(model, index) {
                continue;
            }
            let rank = (room.held[model] == 0, room.left);
            if best.is_none_or(|(most, _)| rank > most) {
                best = Some((rank, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// Gives a model a replica in place of some of another model that has room to give; whether any
    /// could be.
    fn exchange(&mut self) -> bool {
        for recipient in self.by_lack() {
            let Some(exchange) = self.best_exchange(recipient) else {
                continue;
            };
            let RoomExchange { room, donor, given } = exchange;
            self.rooms[room].left += given * self.models[donor].size;
            self.rooms[room].held[donor] -= given;
            self.placed[donor] -= given;
            self.place(recipient, room);
            return true;
        }
        false
    }

    /// The exchange for one replica more of a model: in a domain without it where there is one, and
    /// for as few hosts as can be.
    fn best_exchange(&self, recipient: usize) -> Option<RoomExchange> {
        if self.models[recipient].size == 0 {
            return None;
        }
        let mut best: Option<((bool, usize), RoomExchange)> = None;
        for room in 0..self.rooms.len() {
            let Some((donor, given)) = self.donor(recipient, room) else {
                continue;
            };
            let has_one = self.rooms[room].held[recipient] > 0;
            let rank = (has_one, given * self.models[donor].size);
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                best = Some((rank, RoomExchange { room, donor, given }));
            }
        }
        best.map(|(_, exchange)| exchange)
    }

    /// The model that gives up replicas in a domain for one of `recipient`, and how many.
    fn donor(&self, recipient: usize, room: usize) -> Option<(usize, usize)> {
        let gained = self.cover(recipient, self.placed[recipient] + 1);
        let missing = self
            .needed(recipient, room)
            .checked_sub(self.rooms[room].left)?;
        for (donor, model) in self.models.iter().enumerate() {
            if donor == recipient || model.size == 0 {
                continue;
            }
            let given = missing.div_ceil(model.size);
            if given > self.rooms[room].held[donor] {
                continue;
            }
            if self.cover(donor, self.placed[donor] - given) >= gained {
                return Some((donor, given));
            }
        }
        None
    }

    fn into_layout(
        self,
        rooms: &BTreeMap<FabricId, FabricCapacity>,
        models: &[ModelConfig],
    ) -> FabricLayout {
        let mut layout = FabricLayout::new();
        for (fabric, room) in rooms.keys().zip(self.rooms) {
            let mut wanted = BTreeMap::new();
            for (model, held) in models.iter().zip(room.held) {
                if held > 0 {
                    wanted.insert(model.name.clone(), held);
                }
            }
            layout.insert(fabric.clone(), wanted);
        }
        layout
    }
}
