//! Churn on sockets: hosts and owners that come and go leave no descriptor behind. A process of its own, as they are
//! counted over the whole of it; sizes of maps over a longer churn are in `engine.rs`.

mod standins;

use standins::{Host, Owner, message, placer, setup, soon};

const ROUNDS: u64 = 60;
/// Rounds after which everything that is made once is there.
const SETTLED: u64 = 20;

fn descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").expect("Linux tells").count()
}

#[tokio::test]
async fn hosts_and_owners_that_came_and_went_leave_nothing_behind() {
    let mut host = Host::new().await;
    let line = |host: &Host, n: u64, health: &str| host.line(&format!("h-{n}"), "east", health);
    let placer = placer(vec![line(&host, 0, "active")]).await;
    let mut settled = 0;
    for n in 1..=ROUNDS {
        let new = Host::new().await;
        placer.board.tell(false, vec![line(&new, n, "active"), line(&host, n - 1, "left")]);
        // The placer has taken it in once it asks for what comes after.
        let next = format!("watch={}&", n + 1);
        soon("the next poll", async {
            while !placer.board.asked.lock().expect("no panic").iter().any(|path| path.contains(&next)) {
                tokio::task::yield_now().await;
            }
        })
        .await;
        placer.board.asked.lock().expect("no panic").clear();
        host = new;
        let mut owner = Owner::connect(placer.address).await;
        owner.send(&setup(n, "play", 1_500, "")).await;
        // The second connection is the one kept ahead.
        let (mut link, _spare) = (host.link().await, host.link().await);
        let line = link.line().await.expect("a set-up");
        link.answer(&line["id"], "x").await;
        let answer = owner.got().await.expect("an answer");
        assert_eq!(answer.kind, 9, "{n}: {answer:?}");
        link.release(&line["id"], 16).await;
        assert_eq!(owner.got().await.expect("an end").cause(), Some(16));
        // Heard, so that it is not told again as this connection closes.
        owner.send(&message(16, n, &[])).await;
        if n == SETTLED {
            settled = descriptors();
        }
    }
    soon("the last connections' ends", async {
        while descriptors() > settled + 4 {
            tokio::task::yield_now().await;
        }
    })
    .await;
}
