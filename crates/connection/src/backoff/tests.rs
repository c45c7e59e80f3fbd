use super::*;

#[test]
fn delays_double_up_to_the_limit_and_return_to_the_initial_one_after_a_reset() {
    let ms = Duration::from_millis;
    let mut backoff = Backoff::new(ms(50), ms(150));
    assert_eq!(
        [0; 4].map(|_| backoff.next_delay()),
        [ms(50), ms(100), ms(150), ms(150)]
    );
    backoff.reset();
    assert_eq!(backoff.next_delay(), ms(50));
}
