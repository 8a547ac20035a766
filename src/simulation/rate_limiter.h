// A token bucket on the steady clock, as the platform's services limit their callers.
#pragma once

namespace corkmux::simulation {

class RateLimiter {
 public:
  /// `rate`: per s, 0: no limit. The bucket holds `burst_s` seconds' worth and is full at once.
  void set(double rate, double burst_s = 1);
  /// Takes `count` from the bucket; false, and nothing taken, if it holds less.
  bool take(double count);

 private:
  double rate_ = 0;
  double burst_ = 0;
  double available_ = 0;
  double updated_at_ = 0;  // s of the steady clock
};

}  // namespace corkmux::simulation
