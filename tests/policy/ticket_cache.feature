Feature: Steps that want advice run only where an advisor permits it

  Scenario: only boots that were not asked about are asked about
    Given an advisor's answer on a, b and c that permits a and b for 20 s
    Then a and b have a ticket, and c has none
    And of a, b, c and d only d is to be asked about

  Scenario: a ticket that is about to end is asked for anew
    Given an advisor's answer on a, b and c that permits a and b for 20 s
    When 18 s have passed
    Then nobody has a ticket
    And of a, b, c and d only a, b and d are to be asked about

  Scenario: a ticket that a worker refused is asked for anew
    Given an advisor's answer on a, b and c that permits a and b for 20 s
    When a refuses its ticket
    Then b has a ticket, and a and c have none
    And of a, b, c and d only a and d are to be asked about

  Scenario: a boot that comes later has no ticket of the earlier one
    Given an advisor's answer on a, b and c that permits a and b for 20 s
    When a starts again
    Then the new boot of a has no ticket and is to be asked about
