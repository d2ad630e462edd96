/* The client library for C and for languages that bind to C: the router inside a host process.
 * streampick/client.h documents the meaning of each field and function. Functions may be called from any
 * thread; strings are copied.
 */
#ifndef STREAMPICK_STREAMPICK_H
#define STREAMPICK_STREAMPICK_H

#include <stddef.h>
#include <stdint.h>

#if defined(__GNUC__)
#define STREAMPICK_C_API __attribute__((visibility("default")))
#else
#define STREAMPICK_C_API
#endif

#ifdef __cplusplus
extern "C" {
#endif

typedef struct streampick_client streampick_client;
typedef struct streampick_call streampick_call;

typedef enum streampick_status {
  STREAMPICK_SERVED = 0,
  STREAMPICK_REFUSED = 1,
  STREAMPICK_FAILED = 2,
  STREAMPICK_WITHDRAWN = 3,
  STREAMPICK_INVALID = 4,
  STREAMPICK_ABSENT = 5
} streampick_status;

/* Valid only within the callback. */
typedef struct streampick_result {
  streampick_status status;
  const char* value; /* not null-terminated */
  size_t value_size;
  const char* content_type; /* never null */
  const char* reason;       /* never null */
  int64_t retry_after_us;   /* of STREAMPICK_REFUSED; 0: no advice */
  int late, absent, may_have_run;
} streampick_result;

/* A null pointer or an all-zero struct selects all defaults. Strings may be null. */
typedef struct streampick_options {
  const char* request_class;
  const char* tenant;
  const char* idempotency_key;
  const char* content_type;
  int64_t deadline_us;
} streampick_options;

/* Called once for each call, on one of the client's threads. */
typedef void (*streampick_callback)(const streampick_result* result, void* user);

/* `config`: the platform's configuration as JSON text. Returns null if it is invalid; then `error`, a buffer
 * of `error_size` bytes, holds a null-terminated line that gives the reason. */
STREAMPICK_C_API streampick_client* streampick_open(const char* config, char* error, size_t error_size);
/* Ends open calls with STREAMPICK_WITHDRAWN first. Null does nothing. */
STREAMPICK_C_API void streampick_close(streampick_client* client);

/* Each returns a call that must be passed to streampick_release, or null if there is not enough memory; then
 * the callback is never called. `key` is null-terminated. */
STREAMPICK_C_API streampick_call* streampick_get(streampick_client* client, const char* key,
                                                 const streampick_options* options,
                                                 streampick_callback callback, void* user);
STREAMPICK_C_API streampick_call* streampick_put(streampick_client* client, const char* key,
                                                 const char* value, size_t value_size,
                                                 const streampick_options* options,
                                                 streampick_callback callback, void* user);
STREAMPICK_C_API void streampick_cancel(streampick_call* call);
/* Frees the handle; the call continues. Null does nothing. */
STREAMPICK_C_API void streampick_release(streampick_call* call);
/* Accepts no more calls and waits for the open ones; those still open after `timeout_us` end with
 * STREAMPICK_WITHDRAWN. Returns 1 if there were none. */
STREAMPICK_C_API int streampick_drain(streampick_client* client, int64_t timeout_us);

#ifdef __cplusplus
}
#endif

#endif
