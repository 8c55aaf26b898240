Feature: Calls that a worker has to answer are bounded

  # A worker that answers nothing would otherwise get repeats of a few calls
  # instead of the calls behind them, and no more than its slots would be tried.
  Scenario: a repeat takes no slot while another call waits
    Given call slots for 3 calls, of which 8 may be in flight
    When 3 calls are made, and one more waits for its turn
    Then a repeat gets no slot
    And a repeat gets no slot before the waiting call

  Scenario: a repeat takes a slot that nobody waits for
    Given call slots for 3 calls, of which 8 may be in flight
    When 2 calls are made
    Then a repeat gets a slot
    And a repeat gets no slot

  Scenario: repeats leave room for first tries
    Given call slots for 8 calls, of which 8 may be in flight
    When 4 repeats are made
    Then a repeat gets no slot
    And 4 calls are made at once
