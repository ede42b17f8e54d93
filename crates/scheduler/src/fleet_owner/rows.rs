//! Encodes the rows of the fleet's record for the store: a key and JSON that operators can read.

use serde::{Deserialize, Serialize};
use thistle_platform::{KeyedRecord, Stored};
use thistle_schedule::Ms;
use thistle_schedule::fleet::{FleetRecord, FleetRow, Purpose, Stage, VmWork, WaveRecord};

use crate::control::to_json;

/// The key of the row with the fields that exist once in the record.
const HEAD_KEY: &str = "head";
/// The prefix of the keys of waves; the keys of a wave's VMs continue with `/VM`.
const WAVE_PREFIX: &str = "wave/";
/// The prefix of the keys of VMs.
const VM_PREFIX: &str = "vm/";
/// The key under which older versions stored the whole record.
const LEGACY_KEY: &str = "fleet";

#[derive(Serialize, Deserialize)]
struct HeadBody {
    owner: String,
    move_ms: Ms,
}

#[derive(Serialize, Deserialize)]
struct WaveBody {
    completed: bool,
}

#[derive(Serialize, Deserialize)]
struct WaveVmBody {
    done: bool,
}

#[derive(Serialize, Deserialize)]
struct VmBody {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    work: Option<(Purpose, Stage)>,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    ordered_lately: bool,
}

/// The whole record in the format of older versions.
#[derive(Deserialize)]
struct LegacyBody {
    owner: String,
    work: Vec<VmWork>,
    #[serde(default)]
    ordered_lately: Vec<String>,
    waves: Vec<LegacyWave>,
    #[serde(default)]
    move_ms: Ms,
}

#[derive(Deserialize)]
struct LegacyWave {
    wave: u64,
    done: Vec<String>,
    left: Vec<String>,
    completed: bool,
}

impl From<LegacyBody> for FleetRecord {
    fn from(body: LegacyBody) -> Self {
        let wave = |w: LegacyWave| WaveRecord {
            wave: w.wave,
            done: w.done.into_iter().collect(),
            left: w.left.into_iter().collect(),
            completed: w.completed,
        };
        Self {
            owner: body.owner,
            work: body.work.into(),
            ordered_lately: body.ordered_lately,
            waves: body.waves.into_iter().map(wave).collect(),
            move_ms: body.move_ms,
        }
    }
}

/// Encodes a row.
pub fn to_record(row: &FleetRow) -> KeyedRecord {
    match row {
        FleetRow::Head { owner, move_ms } => {
            let body = HeadBody { owner: owner.clone(), move_ms: *move_ms };
            KeyedRecord::new(HEAD_KEY, to_json(&body))
        }
        FleetRow::Wave { wave, completed } => {
            let body = WaveBody { completed: *completed };
            KeyedRecord::new(format!("{WAVE_PREFIX}{wave}"), to_json(&body))
        }
        FleetRow::WaveVm { wave, vm, done } => {
            let key = format!("{WAVE_PREFIX}{wave}/{vm}");
            match done {
                Some(done) => KeyedRecord::new(key, to_json(&WaveVmBody { done: *done })),
                None => KeyedRecord::deleting(key),
            }
        }
        FleetRow::Vm { vm, work: None, ordered_lately: false } => {
            KeyedRecord::deleting(format!("{VM_PREFIX}{vm}"))
        }
        FleetRow::Vm { vm, work, ordered_lately } => {
            let work = work.as_ref().map(|work| (work.purpose.clone(), work.stage.clone()));
            let body = VmBody { work, ordered_lately: *ordered_lately };
            KeyedRecord::new(format!("{VM_PREFIX}{vm}"), to_json(&body))
        }
    }
}

/// Returns the record that drops the single record of older versions.
pub fn drop_legacy_record() -> KeyedRecord {
    KeyedRecord::deleting(LEGACY_KEY)
}

/// Returns whether a record is the single record of older versions.
pub fn is_legacy_record(stored: &Stored) -> bool {
    stored.record.key == LEGACY_KEY && stored.record.value().is_some()
}

/// Applies a row to the record. Rows with unknown keys are ignored.
pub fn apply_row(fleet: &mut FleetRecord, stored: &Stored) -> Result<(), serde_json::Error> {
    let key = stored.record.key.as_str();
    let value = stored.record.value();
    if is_legacy_record(stored) {
        *fleet = serde_json::from_slice::<LegacyBody>(value.unwrap_or_default())?.into();
        return Ok(());
    }
    if let Some(row) = decode(key, value)? {
        fleet.apply(row);
    }
    Ok(())
}

fn decode(key: &str, value: Option<&[u8]>) -> Result<Option<FleetRow>, serde_json::Error> {
    if let Some(vm) = key.strip_prefix(VM_PREFIX) {
        return decode_vm(vm, value).map(Some);
    }
    if let Some(rest) = key.strip_prefix(WAVE_PREFIX) {
        return decode_wave(rest, value);
    }
    let Some(value) = value.filter(|_| key == HEAD_KEY) else { return Ok(None) };
    let HeadBody { owner, move_ms } = serde_json::from_slice(value)?;
    Ok(Some(FleetRow::Head { owner, move_ms }))
}

fn decode_vm(vm: &str, value: Option<&[u8]>) -> Result<FleetRow, serde_json::Error> {
    let none = VmBody { work: None, ordered_lately: false };
    let body = value.map_or(Ok(none), serde_json::from_slice)?;
    let vm = vm.to_owned();
    let work = body.work.map(|(purpose, stage)| VmWork { vm: vm.clone(), purpose, stage });
    Ok(FleetRow::Vm { vm, work, ordered_lately: body.ordered_lately })
}

fn decode_wave(rest: &str, value: Option<&[u8]>) -> Result<Option<FleetRow>, serde_json::Error> {
    let (number, vm) = match rest.split_once('/') {
        Some((number, vm)) => (number, Some(vm)),
        None => (rest, None),
    };
    let Ok(wave) = number.parse() else { return Ok(None) };
    let row = match (vm, value) {
        (Some(vm), value) => {
            let body: Option<WaveVmBody> = value.map(serde_json::from_slice).transpose()?;
            FleetRow::WaveVm { wave, vm: vm.to_owned(), done: body.map(|body| body.done) }
        }
        (None, Some(value)) => {
            let WaveBody { completed } = serde_json::from_slice(value)?;
            FleetRow::Wave { wave, completed }
        }
        (None, None) => return Ok(None),
    };
    Ok(Some(row))
}
