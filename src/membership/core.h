// The fleet's view that a router keeps: SWIM's failure detector with Lifeguard's remedies, gossip on its
// probes, and repair by digests. Messages and time in; messages, the next time to be called and changes of
// the view out. No I/O, no clock, no threads: docs/membership.md has the rules and the bounds.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "membership/record.h"
#include "membership/settings.h"
#include "membership/suspicion.h"
#include "membership/table.h"

namespace streampick::membership {

// What changed, for logs and figures.
struct Change {
  enum class Kind : std::uint8_t {
    came,       // first heard of
    suspected,  // no answer, here or at another
    refuted,    // a suspicion was wrong
    lost,       // declared unreachable here
    back,       // one that was unreachable answers
    left,       // said so, or another process has its address
    forgotten,
    two_with_one_name,
    reborn,  // this router took a new boot: others hold the old one for ended, or it slept for too long
    slept,   // this router was not at work
  };
  Kind kind = Kind::came;
  std::string name;
  Boot boot = 0;
  Address address = 0;
};

// How sure the view is.
struct Counts {
  std::size_t alive = 1, suspect = 0, unreachable = 0, left = 0;  // processes; this one is alive
  std::size_t least = 1;  // routers, by name, that are well: for whoever counts voices
  std::size_t most = 1;   // processes that may be at work: for whoever divides a total
  double seen = 1;        // of the last settled view, the share that is alive
  Time unchanged_since = 0;
  bool settled = false;  // unchanged for long enough that all would have heard
  std::uint64_t digest = 0;
  std::uint32_t known = 1;
};

struct Figures {
  std::uint64_t probes = 0, unanswered = 0, asked_to_probe = 0, repairs = 0, refutations = 0,
                declared = 0;       // declared: unreachable, by this router
  std::uint64_t stray = 0;          // answers to nothing that was asked, or too late
  std::uint64_t no_room = 0;        // records that the table had no place for
  std::uint64_t other_address = 0;  // messages whose sender says that it is elsewhere
  std::uint64_t changes_dropped = 0;
};

struct Send {
  Address to = 0;
  Message message;
};

// What another part of the program has said at another router.
struct Guest {
  Address from = 0;
  std::uint32_t guest = 0;
  std::string payload;
};

class Core {
 public:
  Core(Settings settings, std::uint64_t seed, Time now);

  // Where time passed since it was made, that it could not send or hear in: that was no sleep.
  void begin(Time now);
  // `from`: where the message came from, as the shell knows it.
  void receive(Time now, Address from, const Message& message);
  // To be called at next(), or when a message has come since.
  void tick(Time now);
  Time next() const;
  // Whether this router was not at work for so long that it must begin anew. What has waited for it meanwhile
  // is of a time that others have forgotten: it is to be thrown away, and then tick() called.
  bool overslept(Time now) const { return !over_ && now - due_ >= settings_.lifetimes.unreachable / 2; }
  // What this router says of itself from now on.
  void say(Time now, Facts facts);
  void set_contacts(std::vector<Address> contacts);
  // Has another part's payload told, of room_for_guests() bytes at most; without an answer or repetition.
  void tell_for(std::uint32_t guest, Time now, Address to, std::string payload);
  std::size_t room_for_guests() const;
  std::vector<Guest> take_guests() { return std::exchange(guests_, {}); }
  // Tells some of the others that this process leaves. Nothing is sent after it.
  void leave(Time now);

  std::vector<Send> take_sends() { return std::exchange(sends_, {}); }
  std::vector<Change> take_changes();
  const Record& self() const { return self_; }
  const Table& table() const { return table_; }
  Counts counts(Time now) const;
  const Figures& figures() const { return figures_; }
  const Settings& settings() const { return settings_; }
  int health() const { return health_; }  // 0: well; each step makes this router slower to judge
  // Periods after which a view that did not change counts as settled.
  int settle_periods() const { return 2 * rounds(present()) + 4; }

 private:
  struct Probe {
    std::uint32_t number = 0;
    Boot boot = 0;
    Address address = 0;
    Time again = 0;  // when it is sent once more; kNever: it is not
    Time end = 0;    // when it has failed
    int times = 1;
    std::size_t helpers = 0, no_answers = 0;
  };
  struct Relayed {
    Address asker = 0;
    std::uint32_t asked_as = 0;
    Address subject = 0;
    Time give_up = 0;
  };

  void awake(Time now);
  void be_reborn(Time now, bool forget_all);
  void hear(Time now, const Record& record, Boot teller);
  void hear_of_self(Time now, const Record& record);
  void answered(Time now, Address from, const Message& message);
  void compare(Time now, Address from, const Message& message);
  void answer_part(Time now, Address from, std::uint32_t depth, std::uint64_t prefix);
  void records(Time now, Address from, const Message& message);
  void found_digest(Time now, Address from, const Message& message);
  void suspect(Time now, Boot boot, Boot by);
  void declare(Time now, Boot boot, State state);
  void new_period(Time now);
  void probe_next(Time now);
  void send_probe(Time now, Address to, std::uint32_t number, const Member* meant,
                  std::vector<Record> first = {});
  std::vector<Address> some_of(std::vector<Address> all, std::size_t most);
  void try_the_lost(Time now);
  void probe_again(Time now);
  void tell_on(Time now);
  std::optional<Boot> pick();
  Message make(Message::Kind kind, Time now) const;
  // `first`: what the receiver is to hear before all else.
  void send(Time now, Address to, Message message, const std::vector<Record>& first = {});
  void add_news(Time now, Message& message, const std::vector<Record>& first);
  std::optional<Record> claim_on(const Record& of, Time now) const;
  void spread(Boot boot, bool whole = false) { gossip_[boot] = {0, whole}; }
  void changed(Time now, Change::Kind kind, const Record& of);
  struct Living {
    std::size_t present = 1;         // this one, and all that are alive or suspected
    std::vector<Address> addresses;  // of those, in order
  };
  const Living& living() const;
  std::size_t present() const { return living().present; }
  void look_at_names(Time now);
  std::uint64_t draw(std::uint64_t below) { return below == 0 ? 0 : random_() % below; }

  Settings settings_;
  std::vector<Address> remembered_;  // where others were, before this router began anew
  std::mt19937_64 random_;
  Record self_;
  Table table_;
  bool over_ = false;
  struct News {
    int told = 0;        // so many times
    bool whole = false;  // to others it may be new as well
  };
  std::map<Boot, News> gossip_;
  std::map<Boot, Suspicion> suspicions_;
  std::map<Boot, Record> doubts_;  // others say that these are unreachable: to be probed first
  std::vector<Boot> round_;        // whom this round still has to probe
  std::optional<Probe> probe_;
  std::map<std::uint32_t, Address>
      tries_;  // probes of what may be there, by number; of this and the last period
  std::map<std::uint32_t, Address> old_tries_;
  std::map<std::uint32_t, Relayed> relayed_;
  std::uint32_t turn_ = 0;  // of probes, where something is doubtful
  int health_ = 0;
  std::size_t repairs_ = 0;  // begun in this period
  int periods_alone_ = 0;    // since the start, or since the last other was heard
  int healing_ = 0;          // periods for which the lost are tried more often: one of them came back
  Time next_period_ = 0, due_ = 0;
  Time last_change_ = 0;
  std::optional<Time> last_rebirth_;
  bool settled_ = false;
  std::size_t settled_count_ = 1;
  mutable std::optional<Living> living_;  // none: to be counted again
  bool names_changed_ = true;
  std::map<std::string, int> twice_;  // names that two processes have, for so many periods
  std::vector<Send> sends_;
  std::vector<Guest> guests_;
  std::deque<Change> changes_;
  Figures figures_;
};

}  // namespace streampick::membership
