#include "testbed/chart.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>

namespace streampick::testbed {
namespace {

constexpr double kWidth = 720, kHeight = 420, kLeft = 70, kRight = 150, kTop = 40, kBottom = 55;

// Returns the distance between axis marks: 1, 2 or 5 times a power of ten, so that there are about five
// marks.
double tick_distance(double most) {
  const double raw = most / 5, power = std::pow(10, std::floor(std::log10(raw)));
  for (const double of : {1.0, 2.0, 5.0})
    if (raw <= of * power) return of * power;
  return 10 * power;
}

}  // namespace

std::string line_chart(const std::string& title, const std::string& x, const std::string& y,
                       const std::vector<Line>& lines) {
  double most_x = 1e-9, most_y = 1e-9;
  for (const Line& line : lines)
    for (const auto& [at, value] : line.points) {
      most_x = std::max(most_x, at);
      most_y = std::max(most_y, value);
    }
  const double step_x = tick_distance(most_x), step_y = tick_distance(most_y);
  most_y = std::ceil(most_y / step_y) * step_y;
  const auto px = [&](double at) { return kLeft + at / most_x * (kWidth - kLeft - kRight); };
  const auto py = [&](double value) {
    return kHeight - kBottom - value / most_y * (kHeight - kTop - kBottom);
  };
  std::ostringstream out;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 " << kWidth << ' ' << kHeight
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" "
         "fill=\"white\"/>\n"
      << "<text x=\"" << kLeft << "\" y=\"22\" font-size=\"15\">" << title << "</text>\n";
  for (double at = 0; at <= most_x + 1e-9; at += step_x)
    out << "<text x=\"" << px(at) << "\" y=\"" << kHeight - kBottom + 18 << "\" text-anchor=\"middle\">" << at
        << "</text>\n";
  for (double value = 0; value <= most_y + 1e-9; value += step_y)
    out << "<line x1=\"" << kLeft << "\" x2=\"" << kWidth - kRight << "\" y1=\"" << py(value) << "\" y2=\""
        << py(value) << "\" stroke=\"#ddd\"/><text x=\"" << kLeft - 6 << "\" y=\"" << py(value) + 4
        << "\" text-anchor=\"end\">" << value << "</text>\n";
  out << "<text x=\"" << (kLeft + kWidth - kRight) / 2 << "\" y=\"" << kHeight - 12
      << "\" text-anchor=\"middle\">" << x << "</text>\n<text x=\"16\" y=\"" << kHeight / 2
      << "\" text-anchor=\"middle\" transform=\"rotate(-90 16 " << kHeight / 2 << ")\">" << y << "</text>\n";
  constexpr std::array<const char*, 5> colours = {"#1b6ca8", "#c0392b", "#27843b", "#8e5bb5", "#b8860b"};
  for (std::size_t i = 0; i < lines.size(); ++i) {
    const char* colour = colours[i % colours.size()];
    out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colour << "\" points=\"";
    for (const auto& [at, value] : lines[i].points) out << px(at) << ',' << py(value) << ' ';
    out << "\"/>\n<text x=\"" << kWidth - kRight + 10 << "\" y=\"" << kTop + 18.0 * static_cast<double>(i + 1)
        << "\" fill=\"" << colour << "\">" << lines[i].name << "</text>\n";
  }
  out << "</svg>\n";
  return out.str();
}

}  // namespace streampick::testbed
