Feature: It is known since when a leader extends leases no more

  Scenario Outline: a leader that ends, by what is proved of it
    Given a probe that has seen a process lead for <led_s> s
    When the process <ends>
    Then within 2 s the probe knows that it is gone
    And with a grace of 1 s leases are extended <until>

    Examples:
      | led_s | ends                          | until                          |
      | 1.2   | dies                          | until its end                  |
      | 1.2   | leaves its address to another | until its end                  |
      | 0.3   | dies                          | until 1 s after it was seen    |
      | 1.2   | says it has lost the store    | for a time that is not known   |
