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

  # Tickets of 3 s or less were never used, as 3 s had to be left of them.
  Scenario Outline: a ticket of <valid_ms> ms is used in the first half of its time
    Given an advisor's answer that permits a for <valid_ms> ms
    Then a has a ticket until <used_ms> ms have passed, and none afterwards

    Examples:
      | valid_ms | used_ms |
      | 100      | 50      |
      | 3000     | 1500    |
      | 4000     | 2000    |
      | 20000    | 17000   |
      | 200000   | 197000  |
