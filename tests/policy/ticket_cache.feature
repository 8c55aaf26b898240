Feature: Advised steps run only where the advisor permits them

  Scenario: the advisor is asked about each boot once
    Given an advisor's answer on a, b and c that permits a and b for 20 s
    Then a and b have a ticket, and c has none
    And of a, b, c and d only d is to be asked about

  Scenario: a ticket that is about to expire is asked for again
    Given an advisor's answer on a, b and c that permits a and b for 20 s
    When 18 s have passed
    Then nobody has a ticket
    And of a, b, c and d only a, b and d are to be asked about

  Scenario: a ticket that a worker refused is asked for again
    Given an advisor's answer on a, b and c that permits a and b for 20 s
    When a refuses its ticket
    Then b has a ticket, and a and c have none
    And of a, b, c and d only a and d are to be asked about

  Scenario: a new boot does not inherit a ticket
    Given an advisor's answer on a, b and c that permits a and b for 20 s
    When a restarts
    Then the new boot of a has no ticket and is to be asked about
