use super::*;

#[test]
fn processor_time_is_read_also_where_the_name_of_the_program_has_brackets() {
    let stat = "7 (a) b) R 1 2 3 0 -1 4194304 116 0 0 0 150 50 0 0 20 0 1 0 29708";
    assert_eq!(processor(stat, 100), Some(Duration::from_secs(2)));
    assert_eq!(processor("7 (a) R 1 2", 100), None);
}

#[test]
fn resident_memory_is_read_in_bytes() {
    assert_eq!(
        resident("VmHWM:\t 9 kB\nVmRSS:\t    12 kB\n"),
        Some(12 * 1_024)
    );
    assert_eq!(resident("Name: zombie\n"), None);
}

#[test]
fn this_process_has_memory_and_descriptors_and_one_that_is_not_there_is_an_error() {
    let sample = ProcessSample::of(std::process::id()).unwrap();
    assert!(sample.resident > 0 && sample.descriptors > 0);
    assert!(ProcessSample::of(u32::MAX).is_err());
}
