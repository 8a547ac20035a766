// Token bucket on the steady clock, which models the rate limits of the platform's services.
#pragma once

namespace corkmux::simulation {

/// One bucket; unlimited until set() is called.
class RateLimiter {
 public:
  /// `rate`: tokens per second; 0 means no limit. The bucket holds `burst_s` seconds of the rate and starts
  /// full.
  void set(double rate, double burst_s = 1);
  /// Takes `count` tokens; returns false and takes none if the bucket holds less.
  bool take(double count);

 private:
  double rate_ = 0;
  double burst_ = 0;
  double available_ = 0;
  double updated_at_ = 0;  // s of the steady clock
};

}  // namespace corkmux::simulation
