Feature: An advisor is asked first what lets a task start

  Scenario: boots that nothing is known of go before expired tickets
    Given steps 1 and 2 that wait, the first of them more urgent
    When the advisor's answer about step 1 has expired
    Then the next question is about step 2

  # A step without a VM kept the advisor busy with its short tickets.
  Scenario: expired tickets are asked for in turn
    Given steps 1 and 2 that wait, the first of them more urgent
    When each answer is a ticket that has expired by the next question
    Then 8 questions are about each step in turn

  # One question that got no answer was asked again and again, for as long as
  # its step waited, and no other step got tickets.
  Scenario: a step without an answer takes turns with others
    Given steps 1 and 2 that wait, the first of them more urgent
    When questions about step 1 get no answer, and tickets of step 2 expire
    Then 8 questions are about each step in turn
    When the advisor answers about step 1 again, and 2 boots are new
    Then the next question is about step 1

  # VMs beyond the first ones were never asked about where tickets are short.
  Scenario: of one step, boots that nothing is known of go first
    Given an advisor of 20 ms and 5 ms a VM, for 300 ms
    And a step with 20 boots that waits
    When each answer is a ticket that has expired by the next question
    Then the first 2 questions name each of the 20 boots
    And 8 questions name each boot 3 times or more

  Scenario: steps that do not wait come last
    Given steps 1 and 2, of which only step 2 waits
    Then the next question is about step 2
    When the advisor has answered about step 2
    Then the next question is about step 1

  Scenario Outline: a question leaves its tickets time
    Given an advisor of <decide_ms> ms and <each_ms> ms a VM, for <valid_ms> ms
    Then a question about a step with 200 boots names <count> of them

    Examples:
      | decide_ms | each_ms | valid_ms | count |
      | 20        | 5       | 20000    | 100   |
      | 20        | 5       | 3000     | 100   |
      | 20        | 5       | 300      | 11    |
      | 200       | 50      | 3000     | 11    |
      | 200       | 50      | 200000   | 36    |
      | 2000      | 50      | 3000     | 1     |
      | 20        | 0       | 300      | 100   |
