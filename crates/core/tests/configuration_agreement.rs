//! Placers that agree on a plan, the versioned configuration, through the acceptors at nodes, in simulated time.

mod configuration_world;

use reedring_core::event::Event;

use configuration_world::{MS, World, settings};

const SECOND: u64 = 1_000 * MS;

/// The clocks of placers are never compared: a placer whose clock is a minute ahead follows plans and proposes them
/// like the others.
#[test]
fn clocks_that_differ_by_a_minute_change_nothing() {
    for ahead in [0, 1] {
        let mut world = World::new(3, 5);
        // Nodes that were notified of the first plan only after it had been committed vote from 30 s after their start
        // on.
        world.run_until_active(9, 31 * SECOND);
        world.clock_offsets.insert(ahead, 60 * SECOND);
        world.start_placer(ahead, settings(1, 3), 2);
        world.run_until_active(9, SECOND);
        let from = world.now;
        world.start_placer(0, settings(2, 4), 3);
        let done = world
            .run_until_active(2, 10 * SECOND)
            .expect("every placer acts by plan 2 within 10 s");
        let active = world
            .active_plans
            .iter()
            .map(|(number, _)| *number)
            .collect::<Vec<_>>();
        assert_eq!(active, [2, 2, 2], "the clock of placer {ahead} is ahead");
        assert!(done < from + 120 * SECOND);
        assert!(
            world
                .events
                .iter()
                .filter(|(_, event)| event.to_string().contains("no majority"))
                .all(|(_, event)| matches!(event, Event::DispatchSuspended { .. }))
        );
    }
}

/// Two settings files give plan 1 different texts. Whatever the order of the placers' starts, all nodes commit the same
/// text, and the placers with the other one report it.
#[test]
fn of_two_texts_with_one_plan_number_one_is_committed_and_the_others_are_reported() {
    for seed in 0..6_u64 {
        let mut world = World::new(0, 5);
        world.active_plans = vec![(0, 0); 4];
        world.reserve_placers(4);
        for placer in 0..4_usize {
            let other = placer as u64 % 2 == seed % 2;
            let mut file = settings(1, 4);
            if other {
                file.site.max_attempts = 3;
            }
            world.start_placer(placer, file, 1);
            world.run_until_active(9, seed * 7 * MS);
        }
        world.run_until_active(9, 5 * SECOND);
        let committed_versions: Vec<_> = world
            .nodes
            .iter()
            .map(|node| node.record(world.now).committed)
            .collect();
        assert!(
            committed_versions
                .iter()
                .all(|version| *version == committed_versions[0] && version.number == 1),
            "{committed_versions:?}"
        );
        let reports = (0..4).filter(|placer| {
            let last = world.last_configuration_message(*placer);
            last.contains("is not the committed one")
        });
        assert_eq!(reports.count(), 2, "{:#?}", world.events);
    }
}
