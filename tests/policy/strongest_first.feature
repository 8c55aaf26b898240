Feature: The strongest VM leads, but small gains cause no change of leader

  Scenario Outline: a weaker process delays its claim to a vacant leadership
    Given a process of <own> millicores among others of <others>
    Then it waits <delay_s> s before it claims
    And as the leader it <action>

    Examples: equal VMs
      | own  | others              | delay_s | action     |
      | 400  | 400, 400, 400       | 0       | stays      |
      | 400  | 420, 440, 400       | 0       | stays      |
      | 400  | nobody              | 0       | stays      |

    Examples: unequal VMs
      | own  | others              | delay_s | action     |
      | 2150 | 300, 600, 1000      | 0       | stays      |
      | 1000 | 300, 600, 1500      | 0.08    | stays      |
      | 600  | 300, 1300, 1000     | 0.16    | steps down |
      | 300  | 600, 700, 800, 900, 1000, 1100, 1200 | 0.24 | steps down |

    Examples: unknown strengths
      | own  | others              | delay_s | action     |
      | 0    | 300, 600            | 0       | stays      |
      | 300  | 0, 0                | 0       | stays      |

  Scenario Outline: a slow link limits the strength
    Given a VM of <millicores> millicores with a link of <mbps> Mbit/s
    Then its strength is <strength>

    Examples:
      | millicores | mbps | strength |
      | 2150       | 200  | 2150     |
      | 297        | 10   | 200      |
      | 430        | 1000 | 430      |
      | 600        | 5    | 100      |
