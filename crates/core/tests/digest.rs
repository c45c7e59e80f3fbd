//! Equal behaviour between versions of the code: for each seed, the digest of the wire bytes, times and outcomes of a
//! simulated run with faults must equal the digest recorded here. A change that alters one changes what the software
//! does.

mod configuration_world;
mod world;

use std::collections::BTreeMap;

use rand_core::Rng;
use rand_pcg::Pcg32;
use reedring_drmaa::rpc::{Call, Jobs};
use reedring_drmaa::{Control, JobSpec};
use reedring_node_protocol::encode;
use reedring_settings::Health;
use world::digest::Digest;
use world::{MS, SECOND, World};

const SEEDS: u64 = 32;

const CONSTRAINTS: [&str; 4] = [
    "",
    "constraint='require apart from copies by machine'",
    "constraint='require spread by hall within 1'",
    "constraint='require spread by hall at most 3; prefer hall = a'",
];

/// Settings of runs with odd seeds: a node is cold for a minute after its start, and then takes at most eight offers in
/// two seconds.
const SLOW_START: &str = "warm_after = \"60s\"\ncold_window = \"2s\"\ncold_offers = 8.0";

/// The faults of a placer's process and its disk.
#[derive(Clone, Copy, PartialEq)]
enum Placer {
    /// The placer has no state folder and is not killed.
    Runs,
    /// The placer has no state folder and is killed at times.
    Restarts,
    /// The placer has a state folder; its machine loses power, and its disk fails.
    Persists,
}

/// A random number less than `most`.
fn random_below(world: &mut World, most: u32) -> u32 {
    world.rng.next_u32() % most
}

/// Makes a random call of a client or an operator other than a submission.
fn make_random_call(world: &mut World) {
    let job = world.accepted.iter().next_back().cloned();
    let session = "s".to_owned();
    match random_below(world, 8) {
        kind @ 0..=4 => {
            let action = Control::from_number(kind as i32).unwrap();
            let jobs = job.map_or(Jobs::All, |job| Jobs::These(vec![job]));
            world.call(|key| Call::Control { key, jobs, action });
        }
        5 => {
            let drain = random_below(world, 2) == 0;
            world.call(|_| Call::Drain {
                node: "node-1".to_owned(),
                drain,
            });
        }
        6 => {
            world.call(|_| Call::ListNodes {});
        }
        _ => {
            if let Some(job) = job {
                world.call(|_| Call::JobPs { session, job });
            }
        }
    }
}

/// Causes a random fault or change of the node list, or ends one.
fn apply_random_fault(world: &mut World, placer: Placer) {
    let n = random_below(world, 4) as usize;
    match random_below(world, 16) {
        0 | 1 => world.cut_links(n),
        2 => world.lose_answers(n),
        3 if world.is_up(n) => world.kill_node(n),
        3 => world.start_node(n),
        4 => world.set_hanging(n, true),
        5 => world.set_hanging(n, false),
        6 => world.set_health(n, Health::Draining),
        7 => world.set_health(n, Health::Ready),
        8 => world.set_health(n, Health::Gone),
        9 => world.delay_messages(n, 150 * MS),
        10 => world.set_unlisted(n, true),
        11 => world.set_unlisted(n, false),
        12 => world.set_unreachable(n, n < 2),
        13 if placer == Placer::Persists => world.disk().fail_next_sync(),
        14 if placer == Placer::Persists => {
            world.disk().set_full(true);
            world.run_for(20 * MS);
            world.disk().set_full(false);
        }
        13 | 14 if placer == Placer::Restarts => world.restart_placer(),
        15 if placer == Placer::Persists => world.cut_power(),
        15 if placer == Placer::Restarts => world.restart_placer_after(300 * MS),
        _ => {}
    }
}

/// Submits jobs of three classes, with and without constraints, while random faults occur. Then ends all faults and
/// runs for 6 s.
fn run_with_faults(seed: u64, placer: Placer, faults: usize) -> World {
    let mut world = match placer {
        Placer::Persists => World::with_state_folder(4, seed),
        Placer::Runs if seed % 2 == 1 => World::with_slow_start(4, seed, SLOW_START),
        Placer::Runs | Placer::Restarts => World::new(4, seed),
    };
    world.run_for(50 * MS);
    for round in 0..faults {
        world.submit_random();
        let constraint = CONSTRAINTS[random_below(&mut world, 4) as usize];
        world.submit_with("safe", 2, 150, constraint);
        if round % 2 == 1 {
            make_random_call(&mut world);
        }
        apply_random_fault(&mut world, placer);
        let until = world.now + u64::from(random_below(&mut world, 150)) * MS;
        while world.now < until {
            world.wait_any();
            world.run_for(10 * MS);
        }
    }
    (0..4).for_each(|n| world.set_unreachable(n, false));
    (0..4).for_each(|n| world.set_unlisted(n, false));
    world.heal();
    world.wait_hundredths(600);
    world
}

/// The digest of a run, with its outcomes.
fn digest_of(world: &World) -> Digest {
    let mut digest = world.digest;
    for (job, infos) in &world.reported {
        digest.add("job", world.reported_at[job], job.as_bytes());
        for info in infos {
            digest.add("outcome", 0, &serde_json::to_vec(info).unwrap());
        }
    }
    for job in &world.accepted {
        digest.add("accepted", 0, job.as_bytes());
    }
    // Only the number of errors counts: their texts contain calls in Rust's debug format, which depends on names in the
    // code.
    digest.add("errors", 0, &(world.errors.len() as u64).to_be_bytes());
    for (at, n) in &world.arrivals {
        digest.add("offer arrived", *at, &(*n as u64).to_be_bytes());
    }
    for attempts in world.running_copies().values() {
        digest.add("running", world.now, &(attempts.len() as u64).to_be_bytes());
    }
    digest
}

fn digests(placer: Placer, faults: usize) -> Vec<u64> {
    (0..SEEDS)
        .map(|seed| digest_of(&run_with_faults(seed, placer, faults)).value())
        .collect()
}

/// Compares digests by seed and prints all of them where one differs.
fn compare(name: &str, measured: &[u64], expected: &[u64; SEEDS as usize]) {
    let differ: Vec<usize> = (0..measured.len())
        .filter(|seed| measured[*seed] != expected[*seed])
        .collect();
    assert!(
        differ.is_empty(),
        "{name}: seeds {differ:?} differ from the recorded digests; measured: {measured:#x?}"
    );
    let distinct: std::collections::BTreeSet<&u64> = measured.iter().collect();
    assert_eq!(
        distinct.len(),
        measured.len(),
        "{name}: two seeds have the same digest"
    );
}

#[test]
fn runs_of_a_placer_that_is_not_killed_match_their_digests() {
    compare("runs on", &digests(Placer::Runs, 24), &RUNS);
}

#[test]
fn runs_of_a_placer_that_is_restarted_match_their_digests() {
    compare("restarts", &digests(Placer::Restarts, 24), &RESTARTS);
}

#[test]
fn runs_of_a_placer_with_a_state_folder_match_their_digests() {
    compare("state folder", &digests(Placer::Persists, 16), &PERSISTS);
}

/// The digest of a run in which placers agree on configurations through nodes, while nodes are replaced or cut off,
/// placers restart, settings files change and clocks go ahead.
fn agreement_digest_of_seed(seed: u64) -> Digest {
    let mut rng = Pcg32::new(seed, 11);
    let control = [0, 3, 5][rng.next_u32() as usize % 3];
    let placers = 2 + rng.next_u32() as usize % 2;
    let mut world = configuration_world::World::with_control(placers, control, 6);
    world.record_messages = true;
    world.run_until_active(99, 31 * SECOND);
    let (mut number, mut incarnation) = (1, 1);
    // Eight rounds keep `incarnation` a single digit, which `configuration_world::World` needs to derive a placer's
    // number from a link's.
    for _ in 0..8 {
        let n = rng.next_u32() as usize % world.nodes.len();
        let placer = rng.next_u32() as usize % placers;
        incarnation += 1;
        match rng.next_u32() % 7 {
            0 => world.replace_node(n, incarnation),
            1 => drop(world.cut_off.insert(n)),
            2 => world.cut_off.clear(),
            3 => {
                number += 1;
                world.start_placer(
                    placer,
                    configuration_world::settings(number, placers),
                    incarnation,
                );
            }
            4 => {
                number += 1;
                world.change_settings_file(placer, configuration_world::settings(number, placers));
            }
            5 => {
                number += 1;
                let teams = ["red".to_owned(), format!("team-{number}")];
                world.change_settings_file(
                    placer,
                    configuration_world::settings_of_teams(number, placers, &teams),
                );
            }
            _ => drop(
                world
                    .clock_offsets
                    .insert(placer, u64::from(rng.next_u32() % 5) * SECOND),
            ),
        }
        world.run_until_active(99, u64::from(rng.next_u32() % 4_000) * MS);
    }
    world.cut_off.clear();
    world.run_until_active(99, 45 * SECOND);
    agreement_digest(&world)
}

fn agreement_digest(world: &configuration_world::World) -> Digest {
    let mut digest = Digest::default();
    for sent in &world.sent_messages {
        let link_and_direction = [
            sent.placer as u64,
            sent.node as u64,
            u64::from(sent.to_node),
        ];
        link_and_direction
            .iter()
            .for_each(|end| digest.add("end of link", sent.at, &end.to_be_bytes()));
        digest.add("message", sent.at, &encode(&sent.message));
    }
    for (number, at) in &world.active_plans {
        digest.add("active configuration", *at, &number.to_be_bytes());
    }
    digest
}

#[test]
fn runs_of_the_agreement_on_configurations_match_their_digests() {
    let measured: Vec<u64> = (0..SEEDS)
        .map(|seed| agreement_digest_of_seed(seed).value())
        .collect();
    compare("agreement", &measured, &AGREEMENT);
}

/// The digest changes with the seed, the jobs, lost messages, the node list and times.
#[test]
fn the_digest_depends_on_what_happens() {
    let digest_with = |change: &dyn Fn(&mut World)| {
        let mut world = World::new(4, 1);
        world.run_for(50 * MS);
        world.submit("safe", 3, 100);
        change(&mut world);
        world.submit("unsafe", 1, 100);
        world.wait_hundredths(60);
        digest_of(&world)
    };
    let base = digest_with(&|_| ());
    assert!(base.records() > 20, "{base:?}");
    assert_eq!(base, digest_with(&|_| ()));
    let changes: BTreeMap<&str, Digest> = BTreeMap::from([
        ("no change", base),
        (
            "one more job",
            digest_with(&|world| {
                world.submit("safe", 1, 100);
            }),
        ),
        ("a cut link", digest_with(&|world| world.cut_links(0))),
        ("lost answers", digest_with(&|world| world.lose_answers(1))),
        (
            "a millisecond later",
            digest_with(&|world| world.run_for(MS)),
        ),
        (
            "a job with another command",
            digest_with(&|world| submit_other(world)),
        ),
        (
            "all nodes drain",
            digest_with(&|world| (0..4).for_each(|n| world.set_health(n, Health::Draining))),
        ),
    ]);
    let distinct: std::collections::BTreeSet<u64> = changes.values().map(Digest::value).collect();
    assert_eq!(distinct.len(), changes.len(), "{changes:#x?}");
    assert_ne!(agreement_digest_of_seed(0), agreement_digest_of_seed(1));
    assert_ne!(
        digest_of(&run_with_faults(0, Placer::Persists, 4)),
        digest_of(&run_with_faults(0, Placer::Persists, 5))
    );
}

/// Submits a job whose command differs from that of the other jobs.
fn submit_other(world: &mut World) {
    let native = "class=safe service=safe-svc life=100ms cores=0.5 memory=1".to_owned();
    let job = JobSpec {
        command: "walk".to_owned(),
        native,
        ..JobSpec::default()
    };
    world.call(|key| Call::RunJob {
        key,
        job: Box::new(job),
    });
}

// The recorded digests, by seed.
const RUNS: [u64; SEEDS as usize] = [
    0xe93c_08d5_5b05_d986,
    0x758f_f95f_f9f1_9034,
    0xf1ed_e1f3_383e_0551,
    0x027e_4b90_3afc_ec8f,
    0xf273_0cbf_e309_2ec1,
    0x65dd_1496_320b_86b4,
    0x47cb_e95b_ffaf_dc83,
    0xe313_9143_a4ab_5ec2,
    0x3cbe_f3a9_f783_51c6,
    0x09c5_2427_b05d_e0b2,
    0x7cd9_a2cd_93d0_6f7a,
    0xbb6d_b379_57ad_f256,
    0x7327_598b_bd54_b5b1,
    0xc597_aab5_9eb8_8332,
    0x7b85_ca6f_bc7b_9c5e,
    0xb27c_2c4a_ef80_f87f,
    0x5572_9f08_9fb9_a02b,
    0x2e83_7b2b_cd22_ab7e,
    0xdb20_3bc6_d802_b127,
    0x6d6f_ce81_8fae_f36a,
    0x8769_a26c_3811_e050,
    0xd83c_9c9a_dbdd_98c6,
    0xb3cd_8e6e_96d2_bd04,
    0x43d0_4d0d_a826_aab7,
    0xdce5_2265_338d_b64f,
    0xa517_5dc7_fb63_f26e,
    0xb35d_b1fd_8534_dcd3,
    0x79af_bd69_104c_2f76,
    0x3d22_54ec_4cb2_252c,
    0xac36_9e91_7d59_4ee1,
    0x7760_2c87_9780_0a73,
    0x7132_4031_656d_3442,
];
const RESTARTS: [u64; SEEDS as usize] = [
    0xb43f_186c_76d2_8e22,
    0xb24c_1e93_46f8_f6c1,
    0x4ba1_8e4b_63d5_b9be,
    0xf947_d6d8_20af_f59e,
    0xeba3_e5aa_c809_8a33,
    0xfd15_f0a8_ecf0_a47f,
    0xf929_6fd7_a8ee_7d43,
    0x86c0_90c9_c509_aab8,
    0x3f52_9486_eac6_60ee,
    0x4b3c_6596_f925_106a,
    0x9d26_9b55_13e7_bd94,
    0x8d20_dc5f_79ff_7dcf,
    0x1f29_70de_2346_76a9,
    0x660e_8de7_5b3d_e589,
    0xf5df_58e1_2b5f_a7fe,
    0x032f_145c_c79a_c95c,
    0x179b_7fb4_b9ba_155c,
    0x588c_3bb6_9c4d_1fa3,
    0x260a_d60c_6fef_d206,
    0xc0b6_5502_4367_d211,
    0x7fb6_3541_d93f_0573,
    0xe30d_cea4_c685_3613,
    0x882c_950e_8686_4475,
    0x098b_6755_9ab8_3d0f,
    0x8469_0747_4a3e_de9e,
    0x444a_6c58_42be_358d,
    0x318f_9ad2_86ea_7485,
    0x1b94_3079_0fd5_e689,
    0x204b_3078_a6a7_06d1,
    0xfad2_b2e5_931a_b622,
    0x2d35_373c_b0b5_2da5,
    0x8da2_8c93_af5c_549c,
];
const PERSISTS: [u64; SEEDS as usize] = [
    0x8c00_ec99_74e3_14dc,
    0x6cc0_dece_f16c_3bb0,
    0xd548_fd21_8e5f_41ec,
    0x7293_c1cd_455e_b918,
    0x3340_cf0e_fd38_ba36,
    0x88e9_fcae_8568_0464,
    0xf44b_6748_2358_a61c,
    0xac82_74a8_f736_867e,
    0x5b29_5a22_6825_0505,
    0x620e_3c15_1c20_f694,
    0x7d77_b397_8655_c4af,
    0xb345_0a99_3122_ed64,
    0x083c_60b5_5895_d7b3,
    0x5283_3034_b4c0_4950,
    0x8b00_880b_4a79_c370,
    0xa09a_1560_0b83_74f0,
    0x1573_025a_99ae_323f,
    0xc38a_a5b9_213e_3817,
    0xd34c_783d_f18e_4eb2,
    0xce21_a043_10f9_e404,
    0x6a04_4988_37b3_6229,
    0x1adf_b807_2733_8822,
    0xd1f5_fb53_3c40_8548,
    0x75e8_3c87_d895_a544,
    0xf32c_36b1_1bda_be22,
    0xcb31_0a73_20b4_2d21,
    0x1292_deb2_cce3_390c,
    0xe529_b4fc_67b5_04c0,
    0x5b4f_7c3a_3e3d_020c,
    0x4896_2b37_dcea_289b,
    0x0e45_64c4_7b6d_5646,
    0xc9b6_24fa_e986_4b5b,
];
const AGREEMENT: [u64; SEEDS as usize] = [
    0x00ee_7006_db3a_a92f,
    0x2219_4b34_70e5_0253,
    0xd866_7b1e_d3d5_78e9,
    0xcf4d_661d_6ace_37a1,
    0x661e_43dc_8940_cdf6,
    0x6bc9_f65b_5391_9926,
    0x103d_ac84_c1ef_1a1c,
    0xe62d_0c10_c6b8_c510,
    0x2cd9_7db4_3b24_5698,
    0x1441_3c0f_d993_affb,
    0xee31_1fe4_c7bd_ad6a,
    0x00f6_e5dc_f6c2_f163,
    0xd087_3f1d_d1ef_8149,
    0x5ac8_2363_f1df_e76d,
    0x3ab5_c305_2b67_6e51,
    0xb8f5_5f04_3dfc_2ade,
    0xfb6c_dba4_d74b_5cdf,
    0x7729_c115_f8c3_3719,
    0x6cab_3977_f0c5_8dc6,
    0x303c_2640_c652_6113,
    0x3ebb_6d8f_df44_bafb,
    0x27b7_8654_fcce_2966,
    0x7f3c_60c5_ddb3_0e51,
    0x1166_450d_3857_ad79,
    0xc5f8_3586_32ea_9362,
    0xf7cb_5501_d186_fb84,
    0xc15a_dfcc_5445_809e,
    0xbf4a_6643_5f04_10c3,
    0xbea0_71f9_7d2f_a6de,
    0x556a_99df_a3de_c5dc,
    0x1f46_ae92_254d_7f8a,
    0x4ac6_bd0c_2af6_a24e,
];
