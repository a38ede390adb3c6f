;; Refuses requests whose X-Promo-Code is one of those in config.codes, which are separated by commas; counts them
;; in "blocked".
(module
  (memory (export "memory") 2)
  (global (export "plovertrail_abi") i32 (i32.const 1))
  (global (export "plovertrail_buffer") i32 (i32.const 1024))
  (global (export "plovertrail_buffer_size") i32 (i32.const 65536))
  (data (i32.const 0) "x-promo-code")
  (data (i32.const 16) "codes")
  ;; refuse (64): 403 and a text; then count (69): "blocked" by 1
  (data $verdict "\40\00\00\00\19\00\00\00" "\93\01" "this promo code is over"
                 "\45\00\07\00\04\00\00\00" "blocked" "\01\00\00\00")

  (func $same (param $a i32) (param $a_size i32) (param $b i32) (param $b_size i32) (result i32)
    (if (i32.ne (local.get $a_size) (local.get $b_size)) (then (return (i32.const 0))))
    (block $done
      (loop $next
        (br_if $done (i32.eqz (local.get $a_size)))
        (local.set $a_size (i32.sub (local.get $a_size) (i32.const 1)))
        (if (i32.ne (i32.load8_u (i32.add (local.get $a) (local.get $a_size)))
                    (i32.load8_u (i32.add (local.get $b) (local.get $a_size))))
          (then (return (i32.const 0))))
        (br $next)))
    (i32.const 1))

  ;; the address of the first record with this tag and name; 0 if there is none
  (func $find (param $tag i32) (param $name i32) (param $size i32) (result i32)
    (local $at i32) (local $end i32)
    (local.set $at (i32.const 1028))
    (local.set $end (i32.add (i32.const 1028) (i32.load (i32.const 1024))))
    (block $none
      (loop $next
        (br_if $none (i32.ge_u (local.get $at) (local.get $end)))
        (if (i32.eq (i32.load16_u (local.get $at)) (local.get $tag))
          (then
            (if (call $same (i32.add (local.get $at) (i32.const 8)) (i32.load16_u offset=2 (local.get $at))
                            (local.get $name) (local.get $size))
              (then (return (local.get $at))))))
        (local.set $at
          (i32.add (i32.add (local.get $at) (i32.const 8))
                   (i32.add (i32.load16_u offset=2 (local.get $at)) (i32.load offset=4 (local.get $at)))))
        (br $next)))
    (i32.const 0))

  (func $value (param $at i32) (result i32)
    (i32.add (i32.add (local.get $at) (i32.const 8)) (i32.load16_u offset=2 (local.get $at))))

  (func (export "on_request") (result i32)
    (local $code i32) (local $code_size i32) (local $at i32) (local $end i32) (local $from i32)
    (local.set $code (call $find (i32.const 5) (i32.const 0) (i32.const 12)))
    (local.set $at (call $find (i32.const 12) (i32.const 16) (i32.const 5)))
    (if (i32.or (i32.eqz (local.get $code)) (i32.eqz (local.get $at))) (then (return (i32.const 0))))
    (local.set $code_size (i32.load offset=4 (local.get $code)))
    (local.set $code (call $value (local.get $code)))
    (local.set $end (i32.load offset=4 (local.get $at)))
    (local.set $at (call $value (local.get $at)))
    (local.set $end (i32.add (local.get $at) (local.get $end)))
    (local.set $from (local.get $at))
    (loop $next
      ;; a comma, or the end, closes one code
      (if (i32.or (i32.ge_u (local.get $at) (local.get $end))
                  (i32.eq (i32.load8_u (local.get $at)) (i32.const 44)))
        (then
          (if (call $same (local.get $code) (local.get $code_size)
                          (local.get $from) (i32.sub (local.get $at) (local.get $from)))
            (then
              (memory.init $verdict (i32.const 1024) (i32.const 0) (i32.const 52))
              (return (i32.const 52))))
          (local.set $from (i32.add (local.get $at) (i32.const 1)))))
      (local.set $at (i32.add (local.get $at) (i32.const 1)))
      (br_if $next (i32.le_u (local.get $at) (local.get $end))))
    (i32.const 0)))
