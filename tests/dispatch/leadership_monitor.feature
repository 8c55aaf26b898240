Feature: A leader notices soon that the store answers again

  # Each attempt waited for the timeout of the one before, so that leases ended
  # some tenths of a second after the outage.
  Scenario Outline: the proof of leadership is renewed soon after an outage
    Given a leader whose store leaves calls unanswered for <outage_s> s
    Then it has a new proof within 0.3 s of the end of the outage

    Examples:
      | outage_s |
      | 1.3      |
      | 1.5      |
      | 1.7      |
      | 1.9      |
      | 2.1      |
