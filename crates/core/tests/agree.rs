//! Placers that agree on a plan through nodes, in simulated time: the core's own part of it.

mod plans;

use reedring_core::event::Event;

use plans::{MS, World, settings};

const SECOND: u64 = 1_000 * MS;

/// No clock is compared with another: one that is a minute ahead is brought up like the rest, and brings plans itself.
#[test]
fn clocks_that_differ_by_a_minute_change_nothing() {
    for ahead in [0, 1] {
        let mut world = World::new(3, 5);
        // Nodes that heard of the first plan when it was in force already vote once they have settled.
        world.until_all(9, 31 * SECOND);
        world.ahead.insert(ahead, 60 * SECOND);
        world.start(ahead, settings(1, 3), 2);
        world.until_all(9, SECOND);
        let from = world.now;
        world.start(0, settings(2, 4), 3);
        let done = world.until_all(2, 10 * SECOND).expect("in force");
        let seen = world
            .acts
            .iter()
            .map(|(number, _)| *number)
            .collect::<Vec<_>>();
        assert_eq!(seen, [2, 2, 2], "{ahead}");
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

/// The first plan of a fleet: one of those that its files name, at all placers, whoever comes when.
#[test]
fn two_files_of_one_number_come_to_one_plan_and_the_loser_is_told() {
    for seed in 0..6_u64 {
        let mut world = World::new(0, 5);
        world.acts = vec![(0, 0); 4];
        world.lives_for(4);
        for placer in 0..4_usize {
            let other = placer as u64 % 2 == seed % 2;
            let mut file = settings(1, 4);
            if other {
                file.site.max_attempts = 3;
            }
            world.start(placer, file, 1);
            world.until_all(9, seed * 7 * MS);
        }
        world.until_all(9, 5 * SECOND);
        let force: Vec<_> = world
            .nodes
            .iter()
            .map(|node| node.record(world.now).committed)
            .collect();
        assert!(
            force
                .iter()
                .all(|version| *version == force[0] && version.number == 1),
            "{force:?}"
        );
        let told = (0..4).filter(|placer| {
            let last = world.last_configuration_message(*placer);
            last.contains("is not the committed one")
        });
        assert_eq!(told.count(), 2, "{:#?}", world.events);
    }
}
