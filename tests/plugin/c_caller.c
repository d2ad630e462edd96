/* A caller in plain C. */
#include <pthread.h>
#include <string.h>

#include "streampick/streampick.h"

struct tally {
  pthread_mutex_t mutex;
  int served, withdrawn, wrong;
};

static void ended(const streampick_result* result, void* user) {
  struct tally* tally = user;
  pthread_mutex_lock(&tally->mutex);
  if (result->status == STREAMPICK_SERVED) {
    ++tally->served;
    if (result->value_size != 4 || memcmp(result->value, "tile", 4) != 0) ++tally->wrong;
  } else if (result->status == STREAMPICK_WITHDRAWN) {
    ++tally->withdrawn;
  } else {
    ++tally->wrong;
  }
  pthread_mutex_unlock(&tally->mutex);
}

int call_from_c(const char* config, int calls, int* served, int* withdrawn) {
  struct tally tally = {PTHREAD_MUTEX_INITIALIZER, 0, 0, 0};
  streampick_options options;
  memset(&options, 0, sizeof options);
  options.request_class = "tile-read";
  options.deadline_us = 3000000;
  streampick_client* client = streampick_open(config, NULL, 0);
  if (client == NULL) return 1;
  for (int i = 0; i < calls; ++i) streampick_release(streampick_get(client, "sheet", &options, ended, &tally));
  const int drained = streampick_drain(client, 10000000);
  /* A drained client accepts no calls: this one ends as withdrawn, cancelled or not. */
  streampick_call* last = streampick_get(client, "sheet", NULL, ended, &tally);
  streampick_cancel(last);
  streampick_release(last);
  streampick_close(client);
  *served = tally.served;
  *withdrawn = tally.withdrawn;
  return drained == 1 && tally.wrong == 0 ? 0 : 2;
}

int open_with_invalid_config_from_c(char* error, size_t size) {
  return streampick_open("{", error, size) == NULL;
}
