#include "testbed/bed.h"

#include <signal.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <cmath>
#include <future>
#include <map>
#include <ostream>
#include <set>
#include <sstream>
#include <thread>

#include "membership/bounds.h"
#include "standin/http_cache.h"
#include "standin/http_client.h"
#include "standin/platform.h"
#include "testbed/relay.h"
#include "testbed/views.h"

namespace streampick::testbed {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using Steady = std::chrono::steady_clock;
using namespace std::chrono_literals;

namespace {

constexpr auto kSlack = 10s;  // for a machine that is busy: no expectation is about it

std::string local(unsigned short port) { return "127.0.0.1:" + std::to_string(port); }

// Ports that are free, all different: each is held until all are known.
struct Ports {
  Ports(asio::io_context& io, std::size_t count) {
    std::vector<std::unique_ptr<tcp::acceptor>> held;
    std::vector<std::unique_ptr<udp::socket>> held_too;
    const auto any = asio::ip::make_address("127.0.0.1");
    for (std::size_t i = 0; i < count; ++i) {
      for (auto* list : {&listen, &management}) {
        held.push_back(std::make_unique<tcp::acceptor>(io, tcp::endpoint(any, 0)));
        list->push_back(held.back()->local_endpoint().port());
      }
      held_too.push_back(std::make_unique<udp::socket>(io, udp::endpoint(any, 0)));
      peers.push_back(held_too.back()->local_endpoint());
    }
  }
  std::vector<unsigned short> listen, management;
  std::vector<udp::endpoint> peers;
};

class Bed {
 public:
  Bed(const Script& script, const BedSettings& settings, std::ostream& out)
      : script_(script),
        settings_(settings),
        out_(out),
        ports_(io_, script.routers),
        relay_(io_, ports_.peers, "bed", script.seed),
        origin_(io_, "tile"),
        processes_(script.routers),
        phases_(script.routers) {
    for (std::size_t i = 0; i < script.caches; ++i) {
      caches_.push_back(std::make_unique<standin::HttpCache>(io_, "tile"));
      members_.push_back({"cache-" + std::to_string(i), caches_.back()->address()});
    }
    members_.push_back({"origin", origin_.address(), true});
    discovery_ = std::make_unique<standin::StaticDiscovery>(io_, members_);
    thread_ = std::thread([this] { io_.run(); });
    began_ = Steady::now();
    for (std::size_t i = 0; i < script.routers; ++i) start(i);
    mark();
    if (script.requests_per_s > 0)
      for (std::size_t i = 0; i < script.routers; ++i) load_.emplace_back([this, i] { ask_on(i); });
  }
  ~Bed() {
    over_ = true;
    for (std::size_t i = 0; i < processes_.size(); ++i) kill(i);
    for (std::thread& one : load_) one.join();
    work_.reset();
    io_.stop();
    thread_.join();
  }

  Played run() {
    int number = 0;
    for (const Step& step : script_.steps) {
      ++number;
      const auto from = Steady::now();
      const std::string wrong = take(step);
      std::ostringstream line;
      line << "step " << number << ": " << (wrong.empty() ? said_ : wrong) << " ("
           << std::round(10 * periods(Steady::now() - from)) / 10 << " periods)";
      out_ << line.str() << '\n' << std::flush;
      if (wrong.empty()) continue;
      played_.failures.push_back(script_.file + ": " + line.str());
      break;
    }
    for (const auto& view : views())
      if (view) played_.longest_datagram = std::max(played_.longest_datagram, view->longest);
    if (played_.longest_datagram > script_.datagram)
      played_.failures.push_back(script_.file + ": a datagram of " +
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
  std::vector<std::size_t> whom(const Step& step) const {
    if (!step.who.empty()) return step.who;
    std::vector<std::size_t> all(script_.routers);
    for (std::size_t i = 0; i < all.size(); ++i) all[i] = i;
    return all;
  }

  // --- Processes
  void start(std::size_t router) {
    nlohmann::json config =
        standin::router_config(local(ports_.listen[router]), discovery_->address(), members_, 128);
    config["name"] = "n" + std::to_string(router);
    config["seed"] = std::to_string(script_.seed * 1'000 + router * 100 + ++starts_);
    config["management"] = local(ports_.management[router]);
    config["settings"]["Balancers"] = script_.routers;
    config["settings"]["Me"] = router;
    config["settings"]["PolicyLimits"]["PeerMessages"] = true;
    std::ostringstream options;
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
    processes_[router] = std::make_unique<standin::RouterProcess>(
        settings_.router, config, options.str(),
        settings_.logs.empty()
            ? "/dev/null"
            : settings_.logs + "/n" + std::to_string(router) + "." + std::to_string(starts_) + ".log");
    phases_[router] = Phase::running;
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
  std::string terminate(std::size_t router) {
    if (!processes_[router]) return {};
    phases_[router] = Phase::ending;
    const int code = processes_[router]->stop();
    processes_[router].reset();
    phases_[router] = Phase::down;
    return code == 0 ? "" : "n" + std::to_string(router) + " ended with " + std::to_string(code);
  }

  // --- Views
  std::vector<std::optional<View>> views() {
    std::vector<std::future<std::optional<View>>> asked(script_.routers);
    for (std::size_t i = 0; i < script_.routers; ++i)
      if (phases_[i] == Phase::running)
        asked[i] =
            std::async(std::launch::async, [this, i] { return ask_view(local(ports_.management[i]), 2s); });
    std::vector<std::optional<View>> out(script_.routers);
    Sample sample{periods(Steady::now() - began_), std::vector<int>(script_.routers, -1)};
    for (std::size_t i = 0; i < script_.routers; ++i) {
      if (!asked[i].valid()) continue;
      out[i] = asked[i].get();
      if (!out[i]) continue;
      sample.alive[i] = static_cast<int>(out[i]->alive);
      declared_[out[i]->boot] = out[i]->declared;
    }
    played_.samples.push_back(std::move(sample));
    return out;
  }
  std::string unsettled() {
    std::vector<View> there;
    const auto all = views();
    for (std::size_t i = 0; i < all.size(); ++i) {
      if (phases_[i] != Phase::running) continue;
      if (!all[i]) return "n" + std::to_string(i) + " does not answer";
      there.push_back(*all[i]);
    }
    const std::vector<std::string> apart = differences(there);
    if (apart.empty()) return {};
    return apart.front() + (apart.size() > 1 ? ", and " + std::to_string(apart.size() - 1) + " more" : "");
  }
  // Why it is not so; empty: it is.
  std::string missing(const Step& step) {
    switch (step.what) {
      case Step::What::none: return {};
      case Step::What::settled: return unsettled();
      case Step::What::sees:
      case Step::What::routers: {
        const auto all = views();
        for (const std::size_t i : whom(step)) {
          if (phases_[i] != Phase::running) continue;
          if (!all[i]) return "n" + std::to_string(i) + " does not answer";
          const std::size_t is = step.what == Step::What::sees ? all[i]->alive : all[i]->routers;
          if (static_cast<double>(is) != step.number)
            return "n" + std::to_string(i) + (step.what == Step::What::sees ? " counts " : " divides by ") +
                   std::to_string(is) + ", not " + std::to_string(static_cast<long>(step.number));
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
        const double bytes = static_cast<double>(bytes_sent() - marked_bytes_);
        const double seconds = std::chrono::duration<double>(Steady::now() - marked_).count();
        const double each = bytes / std::max(seconds, 1e-3) / static_cast<double>(script_.routers);
        said_ = std::to_string(static_cast<long>(each)) + " bytes a second and router";
        return each <= step.number ? "" : said_ + ", over " + std::to_string(static_cast<long>(step.number));
      }
      case Step::What::answered: {
        said_ = std::to_string(answered_) + " of " + std::to_string(asked_) + " answered, " +
                std::to_string(lost_) + " lost";
        return asked_ > 0 && lost_ == 0 ? "" : said_;
      }
    }
    return {};
  }
  std::uint64_t bytes_sent() {
    return on_loop([this] {
      std::uint64_t out = 0;
      for (std::size_t i = 0; i < script_.routers; ++i)
        for (std::size_t k = 0; k < script_.routers; ++k) out += relay_.count(i, k).bytes;
      return out;
    });
  }
  void mark() {
    marked_ = Steady::now();
    marked_bytes_ = bytes_sent();
    views();
    marked_declared_ = declared_;
  }

  // --- Steps
  std::string take(const Step& step) {
    said_ = "done";
    std::string wrong;
    switch (step.action) {
      case Step::Do::kill:
        for (const std::size_t i : whom(step)) kill(i);
        break;
      case Step::Do::stop:
        for (const std::size_t i : whom(step)) send(i, SIGSTOP, Phase::stopped);
        break;
      case Step::Do::go_on:
        for (const std::size_t i : whom(step)) send(i, SIGCONT, Phase::running);
        break;
      case Step::Do::terminate:
        for (const std::size_t i : whom(step))
          if (std::string one = terminate(i); !one.empty()) wrong = one;
        break;
      case Step::Do::start:
        for (const std::size_t i : whom(step))
          if (phases_[i] == Phase::down) start(i);
        break;
      case Step::Do::restart:
        for (const std::size_t i : whom(step)) kill(i);
        for (const std::size_t i : whom(step)) start(i);
        break;
      case Step::Do::cut:
      case Step::Do::link:
      case Step::Do::heal: on_loop([&] { set_links(step); }); break;
      case Step::Do::mark: mark(); break;
      case Step::Do::expect: return missing(step);
      case Step::Do::wait: return wait(step);
    }
    return wrong;
  }
  void set_links(const Step& step) {
    Faults& faults = relay_.faults();
    if (step.action == Step::Do::heal) return faults.clear();
    if (step.action == Step::Do::link) {
      for (const std::size_t from : whom(step))
        for (std::size_t to = 0; to < script_.routers; ++to) faults.link(from, to) = step.link;
      return;
    }
    for (std::size_t a = 0; a < step.groups.size(); ++a)
      for (std::size_t b = 0; b < step.groups.size(); ++b)
        for (const std::size_t from : step.groups[a])
          for (const std::size_t to : step.groups[b])
            if (a != b && (!step.one_way || a == 0)) faults.link(from, to).cut = true;
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
    const auto end = begun + of_periods(most) + kSlack;
    std::string why;
    while (!(why = missing(step)).empty()) {
      if (Steady::now() > end)
        return "waited for " + std::to_string(static_cast<int>(most)) + " periods: " + why;
      std::this_thread::sleep_for(std::max<Steady::duration>(20ms, of_periods(0.25)));
    }
    if (step.what == Step::What::settled)
      said_ = "settled; the bound is " + std::to_string(static_cast<int>(most));
    return {};
  }

  // --- Load: each router's own clients, one request after the other. A request may go unanswered only where
  // its router was killed meanwhile; one that crosses a connection's end is sent once more, as the platform's
  // clients do.
  void ask_on(std::size_t router) {
    std::unique_ptr<standin::HttpClient> client;
    const auto each =
        std::chrono::duration<double>(static_cast<double>(script_.routers) / script_.requests_per_s);
    for (std::uint64_t number = 1; !over_; ++number) {
      std::this_thread::sleep_for(each);
      if (phases_[router] != Phase::running) {
        client.reset();
        continue;
      }
      standin::HttpAsk ask{
          "tile-read", "k" + std::to_string(number % 50), (router + 1) << 40U | number, 2, false, {}};
      int status = 0;
      bool taken = false;
      for (int tries = 0; tries < 2 && status == 0; ++tries) {
        try {
          if (!client) client = std::make_unique<standin::HttpClient>(local(ports_.listen[router]));
          taken = true;
          status = client->ask(ask);
        } catch (const boost::system::system_error&) {
          taken = false;  // it could not be connected to
        }
        if (status == 0) client.reset();
      }
      if (!taken) continue;
      ++asked_;
      if (status != 0)
        ++answered_;
      else if (phases_[router] == Phase::running && !over_)
        ++lost_;
    }
  }

  const Script& script_;
  const BedSettings& settings_;
  std::ostream& out_;
  asio::io_context io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_ = asio::make_work_guard(io_);
  Ports ports_;
  Relay relay_;
  std::vector<std::unique_ptr<standin::HttpCache>> caches_;
  standin::HttpCache origin_;
  std::vector<standin::PlatformMember> members_;
  std::unique_ptr<standin::StaticDiscovery> discovery_;
  std::vector<std::unique_ptr<standin::RouterProcess>> processes_;
  std::vector<std::atomic<Phase>> phases_;
  std::size_t starts_ = 0;
  std::thread thread_;
  std::vector<std::thread> load_;
  std::atomic<bool> over_{false};
  std::atomic<std::uint64_t> asked_{0}, answered_{0}, lost_{0};
  std::map<std::string, std::uint64_t> declared_, marked_declared_;
  Steady::time_point began_, marked_;
  std::uint64_t marked_bytes_ = 0;
  std::string said_;
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
      throw std::runtime_error("line " + std::to_string(out.size() + 1) + ": no sample");
    for (int alive = 0; cells >> comma >> alive;) sample.alive.push_back(alive);
    out.push_back(std::move(sample));
  }
  return out;
}

// A line a router: where lines part, views do.
std::string plot(const std::vector<Sample>& samples, const std::string& title) {
  constexpr double kWidth = 900, kHeight = 360, kLeft = 50, kTop = 40, kRight = 20, kBottom = 45;
  double most = 1, end = 1;
  std::size_t routers = 0;
  for (const Sample& sample : samples) {
    end = std::max(end, sample.periods);
    routers = std::max(routers, sample.alive.size());
    for (const int alive : sample.alive) most = std::max(most, static_cast<double>(alive));
  }
  const auto x = [&](double periods) { return kLeft + periods / end * (kWidth - kLeft - kRight); };
  const auto y = [&](double alive) { return kHeight - kBottom - alive / most * (kHeight - kTop - kBottom); };
  std::ostringstream out;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 " << kWidth << ' ' << kHeight
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" "
         "fill=\"white\"/>\n<text x=\""
      << kLeft << "\" y=\"22\" font-size=\"15\">" << title << "</text>\n";
  for (double tick = 0; tick <= most; tick += std::max(1.0, std::round(most / 6)))
    out << "<line x1=\"" << kLeft << "\" x2=\"" << kWidth - kRight << "\" y1=\"" << y(tick) << "\" y2=\""
        << y(tick) << "\" stroke=\"#ddd\"/><text x=\"" << kLeft - 8 << "\" y=\"" << y(tick) + 4
        << "\" text-anchor=\"end\">" << tick << "</text>\n";
  for (int i = 0; i <= 6; ++i)
    out << "<text x=\"" << x(end * i / 6) << "\" y=\"" << kHeight - 25 << "\" text-anchor=\"middle\">"
        << std::round(end * i / 6) << "</text>\n";
  out << "<text x=\"" << kWidth / 2 << "\" y=\"" << kHeight - 6
      << "\" text-anchor=\"middle\">periods</text>\n";
  for (std::size_t i = 0; i < routers; ++i) {
    out << "<polyline fill=\"none\" stroke=\"hsl(" << 360 * i / routers
        << ",65%,45%)\" stroke-width=\"1.5\" opacity=\"0.7\" points=\"";
    // Side by side by a hair, so that equal ones can be told.
    const double apart = (static_cast<double>(i) / static_cast<double>(routers) - 0.5) * 6;
    for (const Sample& sample : samples)
      if (i < sample.alive.size() && sample.alive[i] >= 0)
        out << x(sample.periods) << ',' << y(sample.alive[i]) + apart << ' ';
    out << "\"/>\n";
  }
  out << "</svg>\n";
  return out.str();
}

}  // namespace streampick::testbed
