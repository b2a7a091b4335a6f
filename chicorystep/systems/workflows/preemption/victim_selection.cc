#include "chicorystep/systems/workflows/preemption/victim_selection.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace chicorystep {
namespace {

// How the cost of a victim that runs on several workers counts on each of them.
// Whole costs suit a want that needs few of the workers; shares suit one that
// uses most of what the victim frees.
enum class CostBasis : std::uint8_t { kWhole, kShare };

// The cheapest victims that make room for one more task on a worker.
struct Quote {
  bool possible = false;
  double price = 0;
  std::vector<std::size_t> victims;
};

// One part of a victim.
struct PartRef {
  std::size_t victim = 0;
  std::size_t part = 0;
};

// The state of one attempt to place the wanted tasks.
struct Attempt {
  const PreemptionField* field = nullptr;
  const PreemptionWant* want = nullptr;
  // The parts on each worker, and the price of each part of each victim.
  std::vector<std::vector<PartRef>> parts_on;
  std::vector<std::vector<double>> prices;
  // What is free on each worker, less the tasks placed there, and how many more
  // tasks may be placed.
  std::vector<Capacity> free;
  std::vector<std::uint32_t> max_tasks;
  std::vector<bool> stopped;
  std::vector<Quote> quotes;
};

// A victim on the worker that is being quoted.
struct Offer {
  std::size_t victim = 0;
  Capacity frees;
  double price = 0;
  // The price by the part of what is short that the victim frees.
  double rate = 0;
};

// The part of what is short that `frees` covers, up to 1: the mean over the
// resources that are short, or 0 if none is.
double CoveredShare(const Capacity& frees, const Capacity& shortage) {
  double share = 0;
  int resources_short = 0;
  const auto cover = [&](std::int64_t freed, std::int64_t missing) {
    if (missing > 0) {
      ++resources_short;
      share += std::min(
          1.0, static_cast<double>(freed) / static_cast<double>(missing));
    }
  };
  cover(frees.accelerators.value, shortage.accelerators.value);
  cover(frees.processors.value, shortage.processors.value);
  cover(frees.memory.value, shortage.memory.value);
  return resources_short == 0 ? 0 : share / resources_short;
}

// How many tasks of size `need` fit, up to `max_tasks`.
std::size_t CountFits(const Capacity& free,
                      const Capacity& need,
                      std::uint32_t max_tasks) {
  if (!Holds(free, need)) {
    return 0;
  }
  std::int64_t fits = max_tasks;
  const auto limit = [&fits](std::int64_t available, std::int64_t needed) {
    if (needed > 0) {
      fits = std::min(fits, available / needed);
    }
  };
  limit(free.accelerators.value, need.accelerators.value);
  limit(free.processors.value, need.processors.value);
  limit(free.memory.value, need.memory.value);
  return static_cast<std::size_t>(fits);
}

// Computes the price of each part of a victim.
std::vector<double> PriceParts(const PreemptionField& field,
                               const PreemptionVictim& victim,
                               const Capacity& need,
                               CostBasis basis) {
  const auto cost = static_cast<double>(victim.cost.value);
  std::vector<double> prices(victim.parts.size(), cost);
  if (basis == CostBasis::kWhole || victim.parts.size() == 1) {
    return prices;
  }
  std::vector<double> shares;
  for (const VictimPart& part : victim.parts) {
    shares.push_back(
        CoveredShare(part.frees, need - field.workers[part.worker].free));
  }
  const double total = std::accumulate(shares.begin(), shares.end(), 0.0);
  for (std::size_t i = 0; i < prices.size() && total > 0; ++i) {
    prices[i] = cost * shares[i] / total;
  }
  return prices;
}

// Takes offers in their order until the task fits, and then drops those that
// turn out not to be needed, the dearest first.
Quote TakeOffers(const std::vector<Offer>& offers,
                 Capacity free,
                 const Capacity& need) {
  std::vector<Offer> taken;
  for (const Offer& offer : offers) {
    if (Holds(free, need)) {
      break;
    }
    free = free + offer.frees;
    taken.push_back(offer);
  }
  Quote quote{.possible = Holds(free, need)};
  if (!quote.possible) {
    return quote;
  }
  std::stable_sort(
      taken.begin(), taken.end(),
      [](const Offer& a, const Offer& b) { return a.price > b.price; });
  for (const Offer& offer : taken) {
    if (const Capacity without = free - offer.frees; Holds(without, need)) {
      free = without;
      continue;
    }
    quote.victims.push_back(offer.victim);
    quote.price += offer.price;
  }
  return quote;
}

// Computes the quote of a worker for one more task. Small victims are cheap but
// many of them are needed, so offers are tried by price and by rate.
Quote ComputeQuote(const Attempt& attempt, std::size_t worker) {
  const Capacity& need = attempt.want->need;
  if (attempt.max_tasks[worker] == 0) {
    return Quote{};
  }
  if (Holds(attempt.free[worker], need)) {
    return Quote{.possible = true};
  }
  const Capacity shortage = need - attempt.free[worker];
  std::vector<Offer> offers;
  for (const auto& [victim, part] : attempt.parts_on[worker]) {
    if (attempt.stopped[victim]) {
      continue;
    }
    Offer offer{.victim = victim,
                .frees = attempt.field->victims[victim].parts[part].frees,
                .price = attempt.prices[victim][part]};
    offer.rate =
        offer.price / std::max(CoveredShare(offer.frees, shortage), 1e-6);
    offers.push_back(offer);
  }
  Quote best;
  for (const auto key : {&Offer::price, &Offer::rate}) {
    std::stable_sort(
        offers.begin(), offers.end(),
        [key](const Offer& a, const Offer& b) { return a.*key < b.*key; });
    Quote quote = TakeOffers(offers, attempt.free[worker], need);
    if (quote.possible && (!best.possible || quote.price < best.price)) {
      best = std::move(quote);
    }
  }
  return best;
}

// Places the wanted tasks one after another where the quote is lowest. Returns
// whether all of them fit.
bool PlaceAll(Attempt& attempt) {
  for (std::size_t i = 0; i < attempt.quotes.size(); ++i) {
    attempt.quotes[i] = ComputeQuote(attempt, i);
  }
  for (std::size_t i = 0; i < attempt.want->tasks; ++i) {
    const auto best =
        std::min_element(attempt.quotes.begin(), attempt.quotes.end(),
                         [](const Quote& a, const Quote& b) {
                           return std::tuple(!a.possible, a.price) <
                                  std::tuple(!b.possible, b.price);
                         });
    if (best == attempt.quotes.end() || !best->possible) {
      return false;
    }
    const auto best_worker =
        static_cast<std::size_t>(best - attempt.quotes.begin());
    std::vector<std::size_t> changed = {best_worker};
    for (const std::size_t index : best->victims) {
      attempt.stopped[index] = true;
      for (const VictimPart& part : attempt.field->victims[index].parts) {
        attempt.free[part.worker] = attempt.free[part.worker] + part.frees;
        changed.push_back(part.worker);
      }
    }
    attempt.free[best_worker] = attempt.free[best_worker] - attempt.want->need;
    --attempt.max_tasks[best_worker];
    for (const std::size_t worker : changed) {
      attempt.quotes[worker] = ComputeQuote(attempt, worker);
    }
  }
  return true;
}

// Drops the victims without which the wanted tasks still fit, the dearest
// first, and places the tasks where least is left free.
PreemptionChoice Settle(const PreemptionField& field,
                        const PreemptionWant& want,
                        const std::vector<bool>& stopped) {
  std::vector<Capacity> free;
  for (const WorkerRoom& room : field.workers) {
    free.push_back(room.free);
  }
  std::vector<std::size_t> victims;
  for (std::size_t i = 0; i < stopped.size(); ++i) {
    if (stopped[i]) {
      victims.push_back(i);
      for (const VictimPart& part : field.victims[i].parts) {
        free[part.worker] = free[part.worker] + part.frees;
      }
    }
  }
  const auto fits_on = [&](std::size_t worker, const Capacity& available) {
    return CountFits(available, want.need, field.workers[worker].max_tasks);
  };
  std::size_t fits = 0;
  for (std::size_t i = 0; i < free.size(); ++i) {
    fits += fits_on(i, free[i]);
  }
  std::stable_sort(victims.begin(), victims.end(),
                   [&](std::size_t a, std::size_t b) {
                     return field.victims[a].cost > field.victims[b].cost;
                   });
  std::erase_if(victims, [&](std::size_t index) {
    std::size_t fewer = 0;
    for (const VictimPart& part : field.victims[index].parts) {
      fewer += fits_on(part.worker, free[part.worker]) -
               fits_on(part.worker, free[part.worker] - part.frees);
    }
    if (fits < want.tasks + fewer) {
      return false;
    }
    fits -= fewer;
    for (const VictimPart& part : field.victims[index].parts) {
      free[part.worker] = free[part.worker] - part.frees;
    }
    return true;
  });
  std::sort(victims.begin(), victims.end());
  PreemptionChoice choice{.victims = std::move(victims)};
  for (const std::size_t index : choice.victims) {
    choice.cost += field.victims[index].cost;
  }
  std::vector<std::size_t> order(free.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) {
                     return std::tuple(free[a].accelerators, free[a].memory) <
                            std::tuple(free[b].accelerators, free[b].memory);
                   });
  for (const std::size_t worker : order) {
    const std::size_t count = std::min(fits_on(worker, free[worker]),
                                       want.tasks - choice.workers.size());
    choice.workers.insert(choice.workers.end(), count, worker);
  }
  return choice;
}

}  // namespace

std::optional<PreemptionChoice> ChooseVictims(const PreemptionField& field,
                                              const PreemptionWant& want) {
  Attempt blank{.field = &field, .want = &want};
  for (const WorkerRoom& room : field.workers) {
    blank.free.push_back(room.free);
    blank.max_tasks.push_back(room.max_tasks);
  }
  blank.parts_on.resize(field.workers.size());
  for (std::size_t i = 0; i < field.victims.size(); ++i) {
    const std::vector<VictimPart>& parts = field.victims[i].parts;
    for (std::size_t j = 0; j < parts.size(); ++j) {
      blank.parts_on[parts[j].worker].push_back(PartRef{i, j});
    }
  }
  blank.stopped.assign(field.victims.size(), false);
  blank.quotes.resize(field.workers.size());
  std::optional<PreemptionChoice> best;
  for (const CostBasis basis : {CostBasis::kWhole, CostBasis::kShare}) {
    Attempt attempt = blank;
    for (const PreemptionVictim& victim : field.victims) {
      attempt.prices.push_back(PriceParts(field, victim, want.need, basis));
    }
    if (!PlaceAll(attempt)) {
      return std::nullopt;
    }
    PreemptionChoice choice = Settle(field, want, attempt.stopped);
    if (!best || choice.cost < best->cost) {
      best = std::move(choice);
    }
  }
  return best;
}

}  // namespace chicorystep
