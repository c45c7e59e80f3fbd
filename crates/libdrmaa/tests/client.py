"""The Python package `drmaa` on libdrmaa, call by call."""
import time

import drmaa

with drmaa.Session() as s:
    assert s.contact.startswith("tcp:"), s.contact
    assert s.drmsInfo.startswith("reedring"), s.drmsInfo
    assert "reedring" in s.drmaaImplementation
    assert str(s.version) == "1.0", s.version

    jt = s.createJobTemplate()
    jt.remoteCommand = "/bin/exit"
    jt.args = ["5"]
    jt.joinFiles = True
    jt.jobName = "exit five"
    assert jt.jobName == "exit five"
    assert list(jt.args) == ["5"], list(jt.args)
    job = s.runJob(jt)
    info = s.wait(job, drmaa.Session.TIMEOUT_WAIT_FOREVER)
    assert info.jobId == job and info.hasExited and info.exitStatus == 5, info
    assert not info.hasSignal and not info.wasAborted, info
    assert info.resourceUsage["reedring.outcome"] == "placed", info.resourceUsage
    try:
        s.wait(job, 1)
        raise AssertionError("a job is waited for once")
    except drmaa.InvalidJobException:
        pass

    jt.remoteCommand = "sleep"
    jt.args = ["30"]
    jt.jobSubmissionState = drmaa.JobSubmissionState.HOLD_STATE
    held = s.runJob(jt)
    assert s.jobStatus(held) == drmaa.JobState.USER_ON_HOLD, s.jobStatus(held)
    s.control(held, drmaa.JobControlAction.RELEASE)
    while s.jobStatus(held) != drmaa.JobState.RUNNING:
        time.sleep(0.01)
    s.control(held, drmaa.JobControlAction.SUSPEND)
    while s.jobStatus(held) != drmaa.JobState.USER_SUSPENDED:
        time.sleep(0.01)
    s.control(held, drmaa.JobControlAction.RESUME)
    s.control(held, drmaa.JobControlAction.TERMINATE)
    ended = s.wait(held, 30)
    assert ended.hasSignal and ended.terminatedSignal == "SIGKILL", ended

    jt.jobSubmissionState = drmaa.JobSubmissionState.ACTIVE_STATE
    jt.remoteCommand = "true"
    jobs = s.runBulkJobs(jt, 1, 40, 2)
    assert len(jobs) == 20
    s.synchronize(jobs, drmaa.Session.TIMEOUT_WAIT_FOREVER, False)
    assert {s.wait(j, 1).jobId for j in jobs} == set(jobs)
    s.runBulkJobs(jt, 1, 10, 1)
    s.synchronize([drmaa.Session.JOB_IDS_SESSION_ALL], 30, True)

    jt.nativeSpecification = "clas=play"
    try:
        s.runJob(jt)
        raise AssertionError("an unknown name is refused")
    except drmaa.InvalidAttributeValueException as error:
        assert "did you mean `class`?" in str(error), error
    s.deleteJobTemplate(jt)
    contact = s.contact

again = drmaa.Session()
again.initialize(contact)
again.exit()
print("every call of the package did as it says")
