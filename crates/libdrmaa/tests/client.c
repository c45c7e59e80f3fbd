/* A client of the C binding: one job, a bulk from several threads, iterators, buffers, errors. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "drmaa.h"

#define CHECK(what)                                                                   \
    do {                                                                              \
        if (!(what)) {                                                                \
            fprintf(stderr, "line %d: not so: %s (%s)\n", __LINE__, #what, error);    \
            exit(1);                                                                  \
        }                                                                             \
    } while (0)

static char error[DRMAA_ERROR_STRING_BUFFER];

static drmaa_job_template_t *template_of(const char *command, const char *arg, const char *native) {
    drmaa_job_template_t *jt = NULL;
    const char *argv[] = {arg, NULL};
    CHECK(drmaa_allocate_job_template(&jt, error, sizeof error) == DRMAA_ERRNO_SUCCESS);
    CHECK(drmaa_set_attribute(jt, DRMAA_REMOTE_COMMAND, command, error, sizeof error) == 0);
    CHECK(drmaa_set_attribute(jt, DRMAA_NATIVE_SPECIFICATION, native, error, sizeof error) == 0);
    CHECK(drmaa_set_vector_attribute(jt, DRMAA_V_ARGV, argv, error, sizeof error) == 0);
    return jt;
}

static void one_job(void) {
    char id[DRMAA_JOBNAME_BUFFER], out[DRMAA_JOBNAME_BUFFER], value[DRMAA_ATTR_BUFFER], small[4];
    int stat = 0, answer = 0;
    size_t size = 0;
    drmaa_attr_values_t *usage = NULL;
    drmaa_job_template_t *jt = template_of("/bin/exit", "7", "class=play");
    CHECK(drmaa_run_job(id, sizeof id, jt, error, sizeof error) == 0);
    CHECK(drmaa_wait(id, out, sizeof out, &stat, DRMAA_TIMEOUT_WAIT_FOREVER, &usage, error, sizeof error) == 0);
    CHECK(strcmp(id, out) == 0);
    CHECK(drmaa_wifexited(&answer, stat, error, sizeof error) == 0 && answer == 1);
    CHECK(drmaa_wexitstatus(&answer, stat, error, sizeof error) == 0 && answer == 7);
    CHECK(drmaa_wifaborted(&answer, stat, error, sizeof error) == 0 && answer == 0);
    CHECK(drmaa_get_num_attr_values(usage, &size) == 0 && size > 3);
    while (drmaa_get_next_attr_value(usage, value, sizeof value) == DRMAA_ERRNO_SUCCESS) size--;
    CHECK(size == 0);
    drmaa_release_attr_values(usage);
    CHECK(drmaa_get_attribute(jt, DRMAA_REMOTE_COMMAND, small, sizeof small, error, sizeof error) == 0);
    CHECK(strcmp(small, "/bi") == 0);
    CHECK(drmaa_delete_job_template(jt, error, sizeof error) == 0);
}

static void errors(void) {
    char id[DRMAA_JOBNAME_BUFFER];
    int state = 0;
    drmaa_job_template_t *jt = template_of("true", "x", "class=play");
    CHECK(drmaa_set_attribute(jt, "drmaa_none", "x", error, sizeof error) == DRMAA_ERRNO_INVALID_ARGUMENT);
    CHECK(drmaa_set_attribute(jt, DRMAA_JOIN_FILES, "x", error, sizeof error) == DRMAA_ERRNO_INVALID_ATTRIBUTE_VALUE);
    CHECK(drmaa_set_attribute(NULL, DRMAA_WD, "x", NULL, 0) == DRMAA_ERRNO_INVALID_ARGUMENT);
    CHECK(drmaa_set_attribute(jt, DRMAA_NATIVE_SPECIFICATION, "clas=play", error, sizeof error) == 0);
    CHECK(drmaa_run_job(id, sizeof id, jt, error, sizeof error) == DRMAA_ERRNO_INVALID_ATTRIBUTE_VALUE);
    CHECK(strstr(error, "did you mean `class`?") != NULL);
    CHECK(drmaa_job_ps("none", &state, error, sizeof error) == DRMAA_ERRNO_INVALID_JOB);
    CHECK(drmaa_control("none", 99, error, sizeof error) == DRMAA_ERRNO_INVALID_ARGUMENT);
    CHECK(drmaa_wait(DRMAA_JOB_IDS_SESSION_ANY, NULL, 0, NULL, 0, NULL, error, sizeof error) == DRMAA_ERRNO_INVALID_JOB);
    CHECK(drmaa_init(NULL, error, sizeof error) == DRMAA_ERRNO_ALREADY_ACTIVE_SESSION);
    CHECK(strcmp(drmaa_strerror(DRMAA_ERRNO_TRY_LATER), "not now, try later") == 0);
    CHECK(drmaa_strerror(99) == NULL);
    CHECK(drmaa_delete_job_template(jt, NULL, 0) == 0);
}

static int per_thread;

/* Submits a bulk and waits for each of its jobs: all threads share the session. */
static void *bulk(void *unused) {
    char id[DRMAA_JOBNAME_BUFFER], out[DRMAA_JOBNAME_BUFFER];
    int stat = 0, n = 0;
    size_t size = 0;
    drmaa_job_ids_t *ids = NULL;
    drmaa_job_template_t *jt = template_of("true", "x", "class=play service=bulk");
    (void)unused;
    CHECK(drmaa_run_bulk_jobs(&ids, jt, 1, per_thread, 1, error, sizeof error) == 0);
    CHECK(drmaa_get_num_job_ids(ids, &size) == 0 && size == (size_t)per_thread);
    while (drmaa_get_next_job_id(ids, id, sizeof id) == DRMAA_ERRNO_SUCCESS) {
        CHECK(drmaa_wait(id, out, sizeof out, &stat, 60, NULL, error, sizeof error) == 0);
        CHECK(strcmp(id, out) == 0);
        n++;
    }
    CHECK(n == per_thread);
    drmaa_release_job_ids(ids);
    CHECK(drmaa_delete_job_template(jt, error, sizeof error) == 0);
    return NULL;
}

int main(int argc, char **argv) {
    int threads = argc > 1 ? atoi(argv[1]) : 4, n;
    pthread_t all[64];
    const char *everything[] = {DRMAA_JOB_IDS_SESSION_ALL, NULL};
    char contact[DRMAA_CONTACT_BUFFER];
    unsigned major = 0, minor = 9;
    per_thread = argc > 2 ? atoi(argv[2]) : 50;
    CHECK(drmaa_exit(error, sizeof error) == DRMAA_ERRNO_NO_ACTIVE_SESSION);
    CHECK(drmaa_version(&major, &minor, error, sizeof error) == 0 && major == 1 && minor == 0);
    CHECK(drmaa_init(NULL, error, sizeof error) == DRMAA_ERRNO_SUCCESS);
    CHECK(drmaa_get_contact(contact, sizeof contact, error, sizeof error) == 0 && strchr(contact, '#'));
    one_job();
    errors();
    for (n = 0; n < threads; n++) CHECK(pthread_create(&all[n], NULL, bulk, NULL) == 0);
    for (n = 0; n < threads; n++) CHECK(pthread_join(all[n], NULL) == 0);
    CHECK(drmaa_synchronize(everything, 60, 1, error, sizeof error) == 0);
    CHECK(drmaa_exit(error, sizeof error) == DRMAA_ERRNO_SUCCESS);
    printf("%d jobs\n", threads * per_thread + 1);
    return 0;
}
