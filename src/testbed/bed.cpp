#include "testbed/bed.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <cmath>
#include <filesystem>
#include <future>
#include <map>
#include <ostream>
#include <set>
#include <sstream>
#include <thread>

#include "membership/bounds.h"
#include "net/tcp.h"
#include "standin/http_cache.h"
#include "standin/http_client.h"
#include "standin/platform.h"
#include "testbed/chart.h"
#include "testbed/relay.h"
#include "testbed/stream_relay.h"
#include "testbed/views.h"

namespace streampick::testbed {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using Steady = std::chrono::steady_clock;
using namespace std::chrono_literals;

namespace {

constexpr auto kRequestTimeLimit = 1s;  // hard time limit of requests where the origin's places are shared
constexpr auto kBusyMachineAllowance = 10s;  // added to every wait, so that a busy machine does not fail it

std::string local(unsigned short port) { return "127.0.0.1:" + std::to_string(port); }

// Free ports from a block that no other testbed on this machine uses (a lock file guards each block). The
// blocks lie below the ephemeral port range, so that a router that is started again finds its ports still
// free.
class Ports {
 public:
  Ports(asio::io_context& io, std::size_t count) {
    for (unsigned block = 0; block < kBlocks && lock_ < 0; ++block) {
      const std::string name =
          (std::filesystem::temp_directory_path() / ("streampick-bed-" + std::to_string(block) + ".lock"))
              .string();
      lock_ = ::open(name.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666);
      if (lock_ >= 0 && ::flock(lock_, LOCK_EX | LOCK_NB) != 0) {
        ::close(lock_);
        lock_ = -1;
      }
      next_ = static_cast<unsigned short>(kFirst + block * kBlock);
    }
    if (lock_ < 0) throw std::runtime_error("all port blocks are in use by other testbeds on this machine");
    const unsigned end = next_ + kBlock;
    const auto any = asio::ip::make_address("127.0.0.1");
    const auto next_free_port = [&] {
      for (; next_ < end; ++next_) {
        boost::system::error_code error;
        tcp::acceptor stream(io);
        stream.open(tcp::v4());
        stream.set_option(tcp::acceptor::reuse_address(true));
        stream.bind({any, next_}, error);
        udp::socket datagrams(io, udp::v4());
        if (!error) datagrams.bind({any, next_}, error);
        if (!error) return next_++;
      }
      throw std::runtime_error("too few free ports from " + std::to_string(kFirst) + " on");
    };
    for (std::size_t i = 0; i < count; ++i) {
      listen.push_back(next_free_port());
      management.push_back(next_free_port());
      other_management.push_back(next_free_port());
      peers.emplace_back(any, next_free_port());
    }
  }
  ~Ports() { ::close(lock_); }
  Ports(const Ports&) = delete;
  Ports& operator=(const Ports&) = delete;
  // `other_management` is for the next process of an upgrade.
  std::vector<unsigned short> listen, management, other_management;
  std::vector<udp::endpoint> peers;

 private:
  static constexpr unsigned kFirst = 20'000, kBlock = 1'200, kBlocks = 10;
  int lock_ = -1;
  unsigned short next_ = 0;
};

class Bed {
 public:
  Bed(const Script& script, const BedSettings& settings, std::ostream& out)
      : script_(script),
        settings_(settings),
        out_(out),
        ports_(io_, script.routers),
        faults_(script.routers + script.caches + 1, script.seed),
        relay_(io_, ports_.peers, "bed", faults_),
        origin_(io_, "tile"),
        processes_(script.routers),
        phases_(script.routers),
        loaded_(script.routers) {
    for (auto& one : loaded_) one = true;
    for (std::size_t i = 0; i < script.caches; ++i) {
      caches_.push_back(std::make_unique<standin::HttpCache>(io_, "tile"));
      if (script.misses) caches_.back()->keys = 1;
      servers_.push_back({"cache-" + std::to_string(i), caches_.back()->address()});
    }
    servers_.push_back({"origin", origin_.address(), true});
    origin_.delay = std::chrono::milliseconds(script.origin_ms);
    for (std::size_t i = 0; i < script.routers; ++i) {
      members_.push_back(servers_);
      for (std::size_t k = 0; k < servers_.size(); ++k) {
        streams_.push_back(std::make_unique<StreamRelay>(io_, faults_, i, script.routers + k,
                                                         *net::parse_endpoint(servers_[k].address)));
        members_.back()[k].address = streams_.back()->address();
      }
      discoveries_.push_back(std::make_unique<standin::StaticDiscovery>(io_, members_.back()));
    }
    if (script.doors)
      for (const unsigned short port : ports_.listen)
        client_listeners_.push_back(
            std::make_unique<tcp::acceptor>(io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), port)));
    thread_ = std::thread([this] { io_.run(); });
    start_time_ = Steady::now();
    for (std::size_t i = 0; i < script.routers; ++i) start(i);
    mark();
    if (script.requests_per_s > 0)
      for (std::size_t i = 0; i < script.routers * script.clients; ++i)
        load_.emplace_back([this, i] { run_client(i % script_.routers, i / script_.routers); });
  }
  ~Bed() {
    stopping_ = true;
    client_listeners_.clear();  // closed, so that no client waits in their queues
    for (std::size_t i = 0; i < processes_.size(); ++i) kill(i);
    for (std::thread& one : load_) one.join();
    work_.reset();
    io_.stop();
    thread_.join();
    std::error_code ignored;
    std::filesystem::remove_all(scratch_, ignored);
  }

  Played run() {
    int number = 0;
    for (const Step& step : script_.steps) {
      ++number;
      const auto from = Steady::now();
      const std::string wrong = run_step(step);
      std::ostringstream line;
      line << "step " << number << ": " << (wrong.empty() ? result_ : wrong) << " ("
           << std::round(10 * periods(Steady::now() - from)) / 10 << " periods)";
      out_ << line.str() << '\n' << std::flush;
      if (wrong.empty()) continue;
      played_.failures.push_back(script_.file + ": " + line.str());
      break;
    }
    for (const auto& view : views())
      if (view) played_.longest_datagram = std::max(played_.longest_datagram, view->longest);
    if (played_.longest_datagram > script_.datagram)
      played_.failures.push_back(script_.file + ": a datagram has " +
                                 std::to_string(played_.longest_datagram) + " bytes");
    played_.asked = asked_;
    played_.answered = answered_;
    played_.lost = lost_;
    played_.passed = played_.failures.empty();
    return std::move(played_);
  }

 private:
  enum class Phase : std::uint8_t { down, running, stopped, ending };

  double periods(Steady::duration time) const {
    return std::chrono::duration<double, std::milli>(time).count() / static_cast<double>(script_.period_ms);
  }
  Steady::duration of_periods(double count) const {
    return std::chrono::duration_cast<Steady::duration>(
        std::chrono::duration<double, std::milli>(count * static_cast<double>(script_.period_ms)));
  }
  template <typename Act>
  auto on_loop(Act act) {
    std::packaged_task<std::invoke_result_t<Act>()> task(std::move(act));
    auto done = task.get_future();
    asio::post(io_, [&task] { task(); });
    return done.get();
  }
  std::vector<std::size_t> selected_routers(const Step& step) const {
    if (!step.who.empty()) return step.who;
    std::vector<std::size_t> all(script_.routers);
    for (std::size_t i = 0; i < all.size(); ++i) all[i] = i;
    return all;
  }

  // --- Processes
  void start(std::size_t router, const std::string& name = {}) {
    processes_[router] = spawn(router, name);
    phases_[router] = Phase::running;
  }
  std::unique_ptr<standin::RouterProcess> spawn(std::size_t router, const std::string& name = {}) {
    nlohmann::json config = standin::router_config(local(ports_.listen[router]),
                                                   discoveries_[router]->address(), members_[router], 128);
    config["name"] = name.empty() ? "n" + std::to_string(router) : name;
    config["seed"] = std::to_string(script_.seed * 1'000 + router * 100 + ++starts_);
    config["management"] = local(ports_.management[router]);
    config["settings"]["Balancers"] = script_.routers;
    config["settings"]["Me"] = router;
    config["settings"]["PolicyLimits"]["PeerMessages"] = true;
    std::ostringstream options;
    if (script_.origin_places > 0) {
      // Short limits, so that requests in progress at the origin end soon.
      for (auto& profile : config["settings"]["Profiles"]) {
        profile["HardLimitUs"] = kRequestTimeLimit / 1us;
        profile["AimUs"] = kRequestTimeLimit / 2us;
      }
      options << "[shares]\norigin_places = " << script_.origin_places << "\nfloor = " << script_.floor
              << "\nperiod_ms = " << script_.period_ms << "\nseats = 1\n";
      if (!script_.numbered)
        options << "voters = [\"" << relay_.address(0) << "\", \"" << relay_.address(script_.routers / 3)
                << "\", \"" << relay_.address(2 * script_.routers / 3) << "\"]\n";
    }
    options << "[fleet]\nname = \"bed\"\nperiod_ms = " << script_.period_ms
            << "\ndatagram_bytes = " << script_.datagram << "\nunreachable_s = " << script_.unreachable_s
            << "\nhold_ms = " << script_.hold_ms << '\n';
    const std::string real = local(ports_.peers[router].port());
    if (script_.numbered) {
      config["peer_listen"] = real;
      for (std::size_t i = 0; i < script_.routers; ++i) config["peers"].push_back(relay_.address(i));
    } else {
      options << "listen = \"" << real << "\"\nadvertise = \"" << relay_.address(router)
              << "\"\nadmit = \"any\"\nseeds = [\"" << relay_.address(0) << "\", \""
              << relay_.address(script_.routers / 2) << "\"]\n";
    }
    standin::RouterProcess::Handed handed;
    if (script_.doors)
      handed = {client_listeners_[router]->native_handle(), local(ports_.management[router]),
                scratch(router)};
    return std::make_unique<standin::RouterProcess>(
        settings_.router, config, options.str(),
        settings_.logs.empty()
            ? "/dev/null"
            : settings_.logs + "/n" + std::to_string(router) + "." + std::to_string(starts_) + ".log",
        handed);
  }
  void kill(std::size_t router) {
    phases_[router] = Phase::down;
    if (!processes_[router]) return;
    ::kill(processes_[router]->pid(), SIGKILL);
    processes_[router].reset();
  }
  void send(std::size_t router, int signal, Phase then) {
    if (!processes_[router]) return;
    phases_[router] = then;
    ::kill(processes_[router]->pid(), signal);
  }
  // Returns the scratch directory that the two processes of one router share during an upgrade.
  std::string scratch(std::size_t router) {
    const auto folder = scratch_ / std::to_string(router);
    std::filesystem::create_directories(folder);
    return folder.string();
  }
  std::string upgrade(std::size_t router) {
    std::swap(ports_.management[router], ports_.other_management[router]);
    std::unique_ptr<standin::RouterProcess> next = spawn(router);
    const auto end = Steady::now() + kBusyMachineAllowance;
    for (std::optional<std::string> health; !health || health->rfind("ACK", 0) != 0;) {
      if (Steady::now() > end) return "the new process of n" + std::to_string(router) + " does not serve";
      std::this_thread::sleep_for(20ms);
      health = call(local(ports_.management[router]), "HEALTH", 1s);
    }
    std::swap(processes_[router], next);
    return terminate_and_wait(router, *next);
  }
  // Sends SIGTERM and samples the other routers' views until the process has exited.
  std::string terminate_and_wait(std::size_t router, standin::RouterProcess& process) {
    ::kill(process.pid(), SIGTERM);
    for (; process.running(); std::this_thread::sleep_for(20ms)) views();
    const int code = process.stop();
    return code == 0 ? "" : "n" + std::to_string(router) + " exited with code " + std::to_string(code);
  }
  std::string terminate(std::size_t router) {
    if (!processes_[router]) return {};
    phases_[router] = Phase::ending;
    std::string wrong = terminate_and_wait(router, *processes_[router]);
    processes_[router].reset();
    phases_[router] = Phase::down;
    return wrong;
  }

  // --- Views
  std::vector<std::optional<View>> views() {
    std::vector<std::future<std::optional<View>>> asked(script_.routers);
    for (std::size_t i = 0; i < script_.routers; ++i)
      if (phases_[i] == Phase::running)
        asked[i] =
            std::async(std::launch::async, [this, i] { return ask_view(local(ports_.management[i]), 2s); });
    std::vector<std::optional<View>> out(script_.routers);
    Sample sample{periods(Steady::now() - start_time_), std::vector<int>(script_.routers, -1),
                  std::vector<bool>(script_.routers)};
    for (std::size_t i = 0; i < script_.routers; ++i) {
      if (!asked[i].valid()) continue;
      out[i] = asked[i].get();
      if (!out[i]) continue;
      sample.alive[i] = static_cast<int>(out[i]->alive);
      declared_[out[i]->boot] = out[i]->declared;
      if (out[i]->alive + 1 >= script_.routers) joined_.insert(out[i]->boot);
      sample.joined[i] = joined_.contains(out[i]->boot);
    }
    played_.samples.push_back(std::move(sample));
    return out;
  }
  std::vector<std::optional<std::vector<SharedPart>>> all_parts() {
    std::vector<std::optional<std::vector<SharedPart>>> out(script_.routers);
    for (std::size_t i = 0; i < script_.routers; ++i)
      if (phases_[i] == Phase::running) out[i] = ask_parts(local(ports_.management[i]), 1s);
    return out;
  }
  std::string why_unsettled() {
    std::vector<View> there;
    const auto all = views();
    for (std::size_t i = 0; i < all.size(); ++i) {
      if (phases_[i] != Phase::running) continue;
      if (!all[i])
        return "n" + std::to_string(i) +
               (processes_[i]->running() ? " does not answer" : " has exited unexpectedly");
      there.push_back(*all[i]);
    }
    const std::vector<std::string> apart = differences(there);
    if (apart.empty()) return {};
    return apart.front() + (apart.size() > 1 ? ", and " + std::to_string(apart.size() - 1) + " more" : "");
  }
  // Returns why the step's condition does not hold; empty: it holds.
  std::string unmet_condition(const Step& step) {
    switch (step.what) {
      case Step::What::none: return {};
      case Step::What::settled: return why_unsettled();
      case Step::What::sees:
      case Step::What::least:
      case Step::What::routers: {
        const auto all = views();
        for (const std::size_t i : selected_routers(step)) {
          if (phases_[i] != Phase::running) continue;
          if (!all[i]) return "n" + std::to_string(i) + " does not answer";
          const bool sees = step.what == Step::What::sees;
          const std::size_t is = sees                             ? all[i]->alive
                                 : step.what == Step::What::least ? all[i]->least
                                                                  : all[i]->routers;
          if (static_cast<double>(is) != step.number)
            return "n" + std::to_string(i) +
                   (step.what == Step::What::routers ? " divides by " : " counts ") + std::to_string(is) +
                   ", not " + std::to_string(static_cast<long>(step.number));
        }
        return {};
      }
      case Step::What::never_lost: {
        views();
        for (const auto& [boot, count] : declared_) {
          const auto before = marked_declared_.find(boot);
          const std::uint64_t since = count - (before == marked_declared_.end() ? 0 : before->second);
          if (static_cast<double>(since) > step.number)
            return "boot " + boot + " declared " + std::to_string(since) + " unreachable";
        }
        return {};
      }
      case Step::What::quiet: {
        const double bytes = static_cast<double>(total_bytes_sent() - marked_bytes_);
        const double seconds = std::chrono::duration<double>(Steady::now() - marked_).count();
        const double each = bytes / std::max(seconds, 1e-3) / static_cast<double>(script_.routers);
        result_ = std::to_string(static_cast<long>(each)) + " bytes per second and router";
        return each <= step.number
                   ? ""
                   : result_ + ", more than " + std::to_string(static_cast<long>(step.number));
      }
      case Step::What::counted: {
        for (std::size_t at = marked_samples_; at < played_.samples.size(); ++at)
          for (std::size_t i = 0; i < script_.routers; ++i) {
            const int alive = played_.samples[at].alive[i];
            const bool few = played_.samples[at].joined[i] && alive < static_cast<int>(step.number);
            if (alive >= 0 && (few || alive > static_cast<int>(script_.routers)))
              return "n" + std::to_string(i) + " counted " + std::to_string(alive);
          }
        return {};
      }
      case Step::What::origin_at_most: {
        most_at_origin_ = std::max(most_at_origin_, origin_.most_working.load());
        result_ = std::to_string(most_at_origin_) + " at once at the origin";
        return static_cast<double>(most_at_origin_) <= step.number ? "" : result_;
      }
      case Step::What::origin_at_least: {
        result_ = std::to_string(origin_.most_working.load()) + " at once at the origin";
        return static_cast<double>(origin_.most_working.load()) >= step.number ? "" : result_;
      }
      case Step::What::usable:
      case Step::What::leased: {
        double sum = 0;
        const auto parts = all_parts();
        for (std::size_t i = 0; i < parts.size(); ++i) {
          if (!parts[i] || parts[i]->empty()) continue;
          sum += parts[i]->front().usable;
          const bool asked = step.what == Step::What::usable &&
                             (step.who.empty() || std::count(step.who.begin(), step.who.end(), i) > 0);
          if (asked && parts[i]->front().usable < step.number)
            return "n" + std::to_string(i) + " may use " + std::to_string(parts[i]->front().usable);
        }
        result_ = std::to_string(static_cast<long>(sum)) + " of the origin's places may be used";
        return step.what == Step::What::usable || sum >= step.number ? "" : result_;
      }
      case Step::What::answered: {
        result_ = std::to_string(answered_) + " of " + std::to_string(asked_) + " answered, " +
                  std::to_string(lost_) + " lost";
        return asked_ > 0 && lost_ == 0 ? "" : result_;
      }
    }
    return {};
  }
  std::uint64_t total_bytes_sent() {
    return on_loop([this] {
      std::uint64_t out = 0;
      for (std::size_t i = 0; i < script_.routers; ++i)
        for (std::size_t k = 0; k < script_.routers; ++k) out += relay_.count(i, k).bytes;
      return out;
    });
  }
  void mark() {
    marked_ = Steady::now();
    marked_bytes_ = total_bytes_sent();
    views();
    marked_declared_ = declared_;
    marked_samples_ = played_.samples.size();
    most_at_origin_ = std::max(most_at_origin_, origin_.most_working.exchange(0));
  }

  // --- Steps
  // Replaces the placeholders kHome and kOthers by router numbers. Waits until some router grants the
  // origin's places. Returns the error if none does in time, else an empty text.
  std::string resolve_placeholders(Step& step) {
    std::vector<std::vector<std::size_t>*> lists{&step.who};
    for (auto& group : step.groups) lists.push_back(&group);
    std::optional<std::size_t> home;
    for (auto* list : lists) {
      if (list->size() != 1 || list->front() < kOthers) continue;
      for (const auto end = Steady::now() + kBusyMachineAllowance + of_periods(200);
           !home && Steady::now() < end;) {
        const auto parts = all_parts();
        for (std::size_t i = 0; i < parts.size(); ++i)
          if (parts[i] && !parts[i]->empty() && parts[i]->front().home) home = i;
        if (!home) std::this_thread::sleep_for(20ms);
      }
      if (!home) return "no router grants the origin's places";
      const bool others = list->front() == kOthers;
      list->clear();
      for (std::size_t i = 0; i < script_.routers; ++i)
        if ((i == *home) != others) list->push_back(i);
    }
    return {};
  }
  std::string run_step(const Step& told) {
    result_ = "done";
    Step step = told;
    if (std::string nobody = resolve_placeholders(step); !nobody.empty()) return nobody;
    std::string wrong;
    switch (step.action) {
      case Step::Do::kill:
        for (const std::size_t i : selected_routers(step)) kill(i);
        break;
      case Step::Do::stop:
        for (const std::size_t i : selected_routers(step)) send(i, SIGSTOP, Phase::stopped);
        break;
      case Step::Do::go_on:
        for (const std::size_t i : selected_routers(step)) send(i, SIGCONT, Phase::running);
        break;
      case Step::Do::stutter:
        for (double period = 0; period < step.periods; ++period)
          for (const auto& [signal, share] : {std::pair(SIGSTOP, 0.9), std::pair(SIGCONT, 0.1)}) {
            for (const std::size_t i : selected_routers(step)) send(i, signal, Phase::running);
            std::this_thread::sleep_for(of_periods(share));
          }
        break;
      case Step::Do::terminate:
        for (const std::size_t i : selected_routers(step))
          if (std::string one = terminate(i); !one.empty()) wrong = one;
        break;
      case Step::Do::start:
        for (const std::size_t i : selected_routers(step))
          if (phases_[i] == Phase::down) start(i, step.name);
        break;
      case Step::Do::restart:
        for (const std::size_t i : selected_routers(step)) kill(i);
        for (const std::size_t i : selected_routers(step)) start(i, step.name);
        break;
      case Step::Do::upgrade:
        for (const std::size_t i : selected_routers(step))
          if (std::string one = upgrade(i); !one.empty()) wrong = one;
        break;
      case Step::Do::cut:
      case Step::Do::link:
      case Step::Do::heal: on_loop([&] { set_links(step); }); break;
      case Step::Do::mark: mark(); break;
      case Step::Do::load: {
        const std::vector<std::size_t> chosen = selected_routers(step);
        for (std::size_t i = 0; i < script_.routers; ++i)
          loaded_[i] = std::find(chosen.begin(), chosen.end(), i) != chosen.end();
        break;
      }
      case Step::Do::expect: return unmet_condition(step);
      case Step::Do::wait: return wait(step);
    }
    return wrong;
  }
  void set_links(const Step& step) {
    const std::size_t all = script_.routers + script_.caches + 1;
    if (step.action == Step::Do::heal) faults_.clear();
    if (step.action == Step::Do::link)
      for (const std::size_t from : selected_routers(step))
        for (std::size_t to = 0; to < all; ++to) faults_.link(from, to) = step.link;
    for (std::size_t a = 0; a < step.groups.size(); ++a)
      for (std::size_t b = 0; b < step.groups.size(); ++b)
        for (const std::size_t from : step.groups[a])
          for (const std::size_t to : step.groups[b])
            if (a != b && (!step.one_way || a == 0)) faults_.link(from, to).cut = true;
    for (const auto& stream : streams_) stream->links_changed();
  }
  std::string wait(const Step& step) {
    if (step.what == Step::What::none) {
      const auto end = Steady::now() + of_periods(step.periods);
      while (Steady::now() < end) {
        std::this_thread::sleep_for(std::min<Steady::duration>(end - Steady::now(), of_periods(1)));
        views();
      }
      return {};
    }
    std::size_t living = 0;
    for (const Phase phase : phases_) living += phase == Phase::running ? 1 : 0;
    const double most = step.periods > 0
                            ? step.periods
                            : membership::settle_periods(script_.routers, script_.datagram, 0, living);
    const auto begun = Steady::now();
    const auto end = begun + of_periods(most) + kBusyMachineAllowance;
    std::string why;
    while (!(why = unmet_condition(step)).empty()) {
      if (Steady::now() > end)
        return "waited for " + std::to_string(static_cast<int>(most)) + " periods: " + why;
      std::this_thread::sleep_for(std::max<Steady::duration>(20ms, of_periods(0.25)));
    }
    if (step.what == Step::What::settled)
      result_ = "settled; the bound is " + std::to_string(static_cast<int>(most));
    return {};
  }

  // --- Load: clients of each router, which send one request after another. A request may stay unanswered
  // only if its router was killed meanwhile. A request whose connection ends without an answer is sent once
  // more, as the platform's clients do.
  void run_client(std::size_t router, std::size_t number_of_client) {
    std::unique_ptr<standin::HttpClient> client;
    const auto each = std::chrono::duration<double>(static_cast<double>(script_.routers * script_.clients) /
                                                    script_.requests_per_s);
    for (std::uint64_t number = 1; !stopping_; ++number) {
      std::this_thread::sleep_for(each);
      if (phases_[router] != Phase::running) {
        client.reset();
        continue;
      }
      if (!loaded_[router]) continue;
      // Where every read goes to the origin, each request has its own key: reads of one key would be merged
      // by single-flight.
      const std::uint64_t id = (router + 1) << 40U | number_of_client << 32U | number;
      standin::HttpAsk ask{"tile-read", "k" + std::to_string(script_.misses ? id : number % 50), id, 2, false,
                           {}};
      int status = 0;
      bool taken = false;
      for (int tries = 0; tries < 2 && status == 0; ++tries) {
        try {
          if (!client) client = std::make_unique<standin::HttpClient>(local(ports_.listen[router]));
          taken = true;
          status = client->ask(ask);
        } catch (const boost::system::system_error&) {
          taken = false;  // the connection failed
        }
        if (status == 0) client.reset();
      }
      if (!taken) continue;
      ++asked_;
      if (status != 0)
        ++answered_;
      else if (phases_[router] == Phase::running && !stopping_)
        ++lost_;
    }
  }

  const Script& script_;
  const BedSettings& settings_;
  std::ostream& out_;
  asio::io_context io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_ = asio::make_work_guard(io_);
  Ports ports_;
  Faults faults_;
  Relay relay_;
  std::vector<std::unique_ptr<standin::HttpCache>> caches_;
  standin::HttpCache origin_;
  std::vector<standin::PlatformMember> servers_;
  // One list for each router, in which the servers have the addresses of that router's stream relays.
  std::vector<std::vector<standin::PlatformMember>> members_;
  std::vector<std::unique_ptr<StreamRelay>> streams_;
  std::vector<std::unique_ptr<standin::StaticDiscovery>> discoveries_;
  std::vector<std::unique_ptr<tcp::acceptor>> client_listeners_;
  const std::filesystem::path scratch_ =
      std::filesystem::temp_directory_path() / ("streampick-bed-" + std::to_string(::getpid()));
  std::vector<std::unique_ptr<standin::RouterProcess>> processes_;
  std::vector<std::atomic<Phase>> phases_;
  std::vector<std::atomic<bool>> loaded_;
  std::size_t starts_ = 0;
  std::thread thread_;
  std::vector<std::thread> load_;
  std::size_t most_at_origin_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint64_t> asked_{0}, answered_{0}, lost_{0};
  std::map<std::string, std::uint64_t> declared_, marked_declared_;
  Steady::time_point start_time_, marked_;
  std::uint64_t marked_bytes_ = 0;
  std::size_t marked_samples_ = 0;
  std::set<std::string> joined_;
  std::string result_;
  Played played_;
};

}  // namespace

Played play(const Script& script, const BedSettings& settings, std::ostream& out) {
  return Bed(script, settings, out).run();
}

std::string to_csv(const std::vector<Sample>& samples) {
  std::ostringstream out;
  for (const Sample& sample : samples) {
    out << sample.periods;
    for (const int alive : sample.alive) out << ',' << alive;
    out << '\n';
  }
  return out.str();
}

std::vector<Sample> from_csv(const std::string& text) {
  std::vector<Sample> out;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) {
    std::istringstream cells(line);
    Sample sample;
    char comma = 0;
    if (!(cells >> sample.periods))
      throw std::runtime_error("line " + std::to_string(out.size() + 1) + ": not a sample");
    for (int alive = 0; cells >> comma >> alive;) sample.alive.push_back(alive);
    out.push_back(std::move(sample));
  }
  return out;
}

// Draws the minimum, median and maximum of the routers' counts. Lines that differ mean that the views differ.
std::string plot(const std::vector<Sample>& samples, const std::string& title) {
  std::vector<Line> lines = {{"least", {}}, {"middle", {}}, {"most", {}}, {"routers that run", {}}};
  for (const Sample& sample : samples) {
    std::vector<int> there;
    for (const int alive : sample.alive)
      if (alive >= 0) there.push_back(alive);
    if (there.empty()) continue;
    std::sort(there.begin(), there.end());
    const int values[] = {there.front(), there[there.size() / 2], there.back(),
                          static_cast<int>(there.size())};
    for (std::size_t i = 0; i < lines.size(); ++i) lines[i].points.emplace_back(sample.periods, values[i]);
  }
  return line_chart(title, "periods", "routers counted as alive", lines);
}

}  // namespace streampick::testbed
