Feature: A listing changes only the boot that its numbers come from

  Scenario: an end is not forgotten by a boot that answers a new connection
    Given a worker of the platform that has settled 86 ends
    When it starts again under its name, and the next listing is requested
    Then that listing settled no end and set no deadline
    And the listing after it settles ends of the new boot

  Scenario: a listing does not wait behind starts without an answer
    Given a worker of the platform that has settled 86 ends
    When it answers no start, and 8 starts are called
    Then a listing is answered within 0.5 s

  Scenario Outline: an answer that cannot be decoded counts as none
    Given a worker of the platform whose answers are <damage>
    Then a listing and a start find the worker unavailable

    Examples:
      | damage                 |
      | no JSON                |
      | a list                 |
      | 200000 levels          |
      | an object              |
      | rows of text           |
      | rows of other lengths  |
      | numbers of 10^30       |
      | infinite numbers       |
      | negative numbers       |
      | unpaired surrogates    |

  # The platform lists 500 ends at a time; the others follow once these are
  # settled.
  Scenario Outline: a listing of <count> ends
    Given a worker of the platform that lists <count> ends
    Then the listing is <extent>

    Examples:
      | count | extent     |
      | 0     | complete   |
      | 499   | complete   |
      | 500   | incomplete |

  # One long checkpoint made all lists of its worker unreadable, so that its
  # attempts lapsed and nothing was started there any more.
  Scenario Outline: a checkpoint of <size> characters is <kept> of a listing
    Given a worker of the platform that lists checkpoints of <size> characters
    Then the listing has both attempts, and their checkpoints are <kept>

    Examples:
      | size | kept    |
      | 4096 | part    |
      | 5000 | no part |
