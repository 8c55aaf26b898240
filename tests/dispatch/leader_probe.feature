Feature: The probe detects when a leader has stopped leading

  Scenario Outline: a leader that <ends> is gone
    Given a probe that has seen a process lead for <led_s> s
    When the process <ends>
    Then within 2 s the probe reports it as gone

    Examples:
      | led_s | ends                                 |
      | 1.2   | dies                                 |
      | 1.2   | loses its address to another process |
      | 0.3   | dies                                 |
      | 1.2   | reports that it has lost the store   |

  Scenario Outline: two leaders that end in quick succession are gone
    Given a probe that has seen a process lead for 1.2 s
    When the process <ends>
    And another process leads for 0.3 s and dies
    Then within 2 s the probe reports it as gone

    Examples:
      | ends                               |
      | dies                               |
      | reports that it has lost the store |
