use super::*;

#[test]
fn a_trace_reads_back_and_a_cut_end_is_left_out() {
    let recorder = Recorder::in_memory();
    recorder.record(Event::ToNode, "p", "n", 3, b"abc");
    recorder.record(Event::NodeEnded, "n", "", 9, b"");
    let bytes = recorder.finish().unwrap();
    let frames = read(&bytes).unwrap();
    assert_eq!(frames.len(), 2);
    assert_eq!(
        (frames[0].event, frames[0].link, &frames[0].bytes[..]),
        (Event::ToNode, 3, &b"abc"[..])
    );
    for cut in MAGIC.len()..bytes.len() {
        assert!(read(&bytes[..cut]).unwrap().len() < 2);
    }
}

#[test]
fn a_flipped_bit_is_found() {
    let recorder = Recorder::in_memory();
    recorder.record(Event::ToNode, "p", "n", 3, b"abc");
    let whole = recorder.finish().unwrap();
    for at in 0..whole.len() {
        let mut bytes = whole.clone();
        bytes[at] ^= 1;
        // A longer length looks like a cut end; nothing else passes.
        assert!(
            read(&bytes).is_err() || read(&bytes).unwrap().is_empty(),
            "byte {at}"
        );
    }
}
